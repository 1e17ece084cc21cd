package hwlink

// ExchangeError describes a failed exchange and how far it got.
type ExchangeError struct {
	Address string
	// MaybeSent reports that bytes of the request may have reached the upstream.
	MaybeSent bool
	// IDMismatch reports that a response to another request arrived.
	IDMismatch bool
	// ConnectionFailed reports that the connection could not be opened or broke, as it does when the upstream crashes.
	ConnectionFailed bool
	Cause            error
}

// Error returns a message with the upstream's address and the cause.
func (e *ExchangeError) Error() string {
	return "HTTP exchange with " + e.Address + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// IDMismatchError is the cause of an ExchangeError when a response belongs to another request.
type IDMismatchError struct {
	Want string
	Got  string
}

// Error returns a message with both IDs.
func (e *IDMismatchError) Error() string {
	if e.Got == "" {
		return "response has no ID instead of " + e.Want + " on a reused connection"
	}
	return "response has ID " + e.Got + " instead of " + e.Want
}

// WithheldError is the cause of an ExchangeError when Request.Withhold prevented the request.
type WithheldError struct{}

func (e *WithheldError) Error() string { return "the request was withheld" }

// FramingError is the cause of an ExchangeError when the head of a response exceeds a limit.
type FramingError struct {
	Problem string
}

// Error returns a message with the exceeded limit.
func (e *FramingError) Error() string { return "invalid HTTP response: " + e.Problem }
