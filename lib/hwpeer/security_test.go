package hwpeer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwpeer"
)

// callTimeout bounds a call in a failing test.
const callTimeout = 20 * time.Second

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: "authority",
		},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	body, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(body)
	require.NoError(t, err)
	return authority{
		certificate: certificate,
		key:         key,
	}
}

// security returns settings with a certificate for the given name issued by this authority. They accept only peers with certificates issued by the trusted authority.
func (a authority) security(t *testing.T, trusted authority, name string) hwpeer.Security {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	body, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	return hwpeer.Security{
		TLS: hwpeer.MutualTLS(tls.Certificate{
			Certificate: [][]byte{body},
			PrivateKey:  key,
		}, pool),
	}
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	address, _ := serve(t, ours.security(t, ours, hwpeer.CertificateName))
	cases := []struct {
		name     string
		security hwpeer.Security
		want     bool
	}{
		{
			name:     "certificate of the same authority",
			security: ours.security(t, ours, hwpeer.CertificateName),
			want:     true,
		},
		{
			name:     "certificate of another authority",
			security: theirs.security(t, ours, hwpeer.CertificateName),
		},
		{
			name:     "client that does not trust the authority of the server",
			security: ours.security(t, theirs, hwpeer.CertificateName),
		},
		{
			name:     "no TLS",
			security: hwpeer.Security{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := hwpeer.NewClient(c.security, callTimeout, nil, &hwpeer.Traffic{})
			_, err := client.Report(context.Background(), address, hwpeer.ReportToWire(report(1, 1)))
			assert.Equal(t, c.want, err == nil, "%v", err)
			require.NoError(t, client.Close())
		})
	}
}

// TestServerCertificateWithAnotherNameIsRejected verifies that a router does not report to another program whose certificate was issued by the same authority.
func TestServerCertificateWithAnotherNameIsRejected(t *testing.T) {
	ours := newAuthority(t)
	address, _ := serve(t, ours.security(t, ours, "another-program"))
	client := hwpeer.NewClient(ours.security(t, ours, hwpeer.CertificateName), callTimeout, nil, &hwpeer.Traffic{})
	_, err := client.Report(context.Background(), address, hwpeer.ReportToWire(report(1, 1)))
	require.Error(t, err)
	require.NoError(t, client.Close())
}

// TestMalformedInputDoesNotStopServer sends bytes that are not a valid RPC. Valid calls must still be answered afterwards.
func TestMalformedInputDoesNotStopServer(t *testing.T) {
	address, _ := serve(t, hwpeer.Security{
		SharedKey: "right",
	})
	cases := []struct {
		name  string
		bytes []byte
	}{
		{
			name:  "immediate close",
			bytes: nil,
		},
		{
			name:  "HTTP request",
			bytes: []byte("GET / HTTP/1.1\r\nHost: peer\r\n\r\n"),
		},
		{
			name:  "zeros",
			bytes: make([]byte, 4096),
		},
		{
			name:  "frame with an oversized length",
			bytes: append([]byte{0x05, 0x01, 0x01}, bytes.Repeat([]byte{0xff}, 9)...),
		},
		{
			name:  "one MiB of 0xff bytes",
			bytes: bytes.Repeat([]byte{0xff}, 1<<20),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			// The server may close the connection before it has read everything.
			_, _ = connection.Write(c.bytes)
			require.NoError(t, connection.Close())
			client := hwpeer.NewClient(hwpeer.Security{
				SharedKey: "right",
			}, callTimeout, nil, &hwpeer.Traffic{})
			_, err = client.Report(context.Background(), address, hwpeer.ReportToWire(report(1, 1)))
			require.NoError(t, err)
			require.NoError(t, client.Close())
		})
	}
}
