package hwscript

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

// untilCommand waits for a state: version N [ROUTER], running N, streaming N, executions NAME N, members ROUTER N, ready ROUTER, logged NAME, usage ACCOUNT UNITS, replayed ROUTER KEY BODY, leased ROUTER yes|no, served ENGINE N, idle ENGINE, read-held ENGINE, can-order ROUTER KEY, at-most NAME N, engines-down-at-most N, no-new-work ENGINE, version-somewhere N, settled, crashes-known, crashes-recorded N.
func untilCommand(s *Scenario, a Arguments) error {
	return WaitUntil(strings.Join(a.Positional, " "), func() bool {
		reached, err := s.stateReached(a)
		return err == nil && reached
	})
}

func (s *Scenario) stateReached(a Arguments) (bool, error) {
	switch a.Arg(0) {
	case "version":
		return s.allRoutersMatch(a.Arg(2), func(r *hwworld.Router) bool {
			number, _ := r.Router.DocumentVersion()
			return strconv.FormatUint(number, 10) == a.Arg(1)
		}), nil
	case "members":
		return s.allRoutersMatch(a.Arg(1), func(r *hwworld.Router) bool {
			return strconv.Itoa(len(r.Router.AliveInstances())) == a.Arg(2)
		}), nil
	case "leased":
		return s.allRoutersMatch(a.Arg(1), func(r *hwworld.Router) bool {
			for _, p := range r.Router.Status(time.Now()).Pools {
				if p.Pool == hwworld.ModelPool {
					return yesNo(p.Leased) == a.Arg(2)
				}
			}
			return false
		}), nil
	case "running":
		total := 0
		for _, service := range s.World.Services {
			total += service.InFlight()
		}
		return strconv.Itoa(total) == a.Arg(1), nil
	case "streaming":
		total := int64(0)
		for _, engine := range s.World.Engines {
			running, _ := engine.InFlight()
			total += running
		}
		return strconv.FormatInt(total, 10) == a.Arg(1), nil
	case "idle":
		number, err := strconv.Atoi(a.Arg(1))
		running, _ := s.World.Engines[number-1].InFlight()
		return running == 0, err
	case "read-held":
		number, err := strconv.Atoi(a.Arg(1))
		return err == nil && s.World.Engines[number-1].ReadBlocked(), err
	case "replayed":
		// The outcome is recorded after the response has been sent; until then a repeated request is rejected because its key is in use.
		if err := callCommand(s, Parse([]string{"until", a.Arg(1), "POST", "/services/desk/orders", "key=" + a.Arg(2), "body=" + a.Arg(3)})); err != nil {
			return false, err
		}
		reply, err := s.AwaitReply("until")
		return reply.Replayed, err
	case "usage":
		return s.usageEquals(a.Arg(1), a.Arg(2))
	case "can-order":
		// Repeats the order until the idempotency record can be written again.
		if err := callCommand(s, Parse([]string{"until", a.Arg(1), "POST", "/services/desk/orders", "key=" + a.Arg(2), "body=order"})); err != nil {
			return false, err
		}
		reply, err := s.AwaitReply("until")
		return reply.Status == http.StatusOK, err
	case "at-most":
		limit, err := strconv.Atoi(a.Arg(2))
		running := 0
		for _, service := range s.World.Services {
			running += service.InFlight()
		}
		return running == 0 && s.executions(a.Arg(1)) <= limit, err
	case "engines-down-at-most":
		limit, err := strconv.Atoi(a.Arg(1))
		down := 0
		for _, engine := range s.World.Engines {
			if !engine.Server.Listening() {
				down++
			}
		}
		return down <= limit, err
	case "served":
		number, err := strconv.Atoi(a.Arg(1))
		if err != nil {
			return false, trace.Wrap(err)
		}
		minimum, err := strconv.Atoi(a.Arg(2))
		return s.World.Engines[number-1].StartedRequests() >= int64(minimum), err
	case "no-new-work":
		return s.servesNoNewRequests(a.Arg(1))
	case "settled":
		return s.allRoutersMatch("all", func(r *hwworld.Router) bool { return r.Router.Status(time.Now()).UnsettledAnswers == 0 }), nil
	case "crashes-known":
		return s.allRoutersMatch("all", func(r *hwworld.Router) bool { return r.Router.Status(time.Now()).KnowsCrashes }), nil
	case "crashes-recorded":
		record := string(s.World.Store.Value(hwrouter.CrashRecordKey(hwworld.Environment)))
		return strconv.Itoa(strings.Count(record, `"crashed"`)) == a.Arg(1), nil
	case "version-somewhere":
		for _, r := range s.World.AllRouters() {
			if number, _ := r.Router.DocumentVersion(); strconv.FormatUint(number, 10) == a.Arg(1) && r.Router.Ready() {
				return true, nil
			}
		}
		return false, nil
	case "executions":
		return strconv.Itoa(s.executions(a.Arg(1))) == a.Arg(2), nil
	case "ready":
		return s.allRoutersMatch(a.Arg(1), func(r *hwworld.Router) bool { return r.Router.Ready() }), nil
	case "logged":
		return strings.Contains(s.Log(), `"name":"`+a.Arg(1)+`"`), nil
	default:
		return false, trace.BadParameter("until: unknown state %s", a.Arg(0))
	}
}

// minOtherRequests is how many requests the other engines must serve before an engine without new requests counts as drained.
const minOtherRequests = 20

// servesNoNewRequests waits until the other engines have started minOtherRequests more requests and reports whether the given engine started none meanwhile.
func (s *Scenario) servesNoNewRequests(engineNumber string) (bool, error) {
	number, err := strconv.Atoi(engineNumber)
	if err != nil {
		return false, trace.Wrap(err)
	}
	startedBefore := s.World.Engines[number-1].StartedRequests()
	otherRequests := func() int64 {
		total := int64(0)
		for i, engine := range s.World.Engines {
			if i != number-1 {
				total += engine.StartedRequests()
			}
		}
		return total
	}
	othersBefore := otherRequests()
	err = WaitUntil("requests at the other engines", func() bool { return otherRequests() >= othersBefore+minOtherRequests })
	return s.World.Engines[number-1].StartedRequests() == startedBefore, err
}

// allRoutersMatch reports whether the condition holds for the named router, ready or not, or, for "" and "all", for every router that is ready.
func (s *Scenario) allRoutersMatch(name string, matches func(*hwworld.Router) bool) bool {
	for _, r := range s.World.AllRouters() {
		if name != r.Name && !r.Router.Ready() {
			continue
		}
		if (name == "" || name == "all" || name == r.Name) && !matches(r) {
			return false
		}
	}
	return true
}
