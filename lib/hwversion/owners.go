package hwversion

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

const (
	// copies is to how many other routers a router tells a stream.
	copies = 2
	// owners is how many routers are asked for a stream. It is one more than copies, because the router that told them may be among them.
	owners = copies + 1
)

// Owners returns the routers that know a stream if others have told it, the likeliest first. All routers with the same view of the fleet agree on them.
func Owners(routers []string, id StreamID) []string {
	type ranked struct {
		router string
		score  uint64
	}
	ranking := make([]ranked, 0, owners+1)
	for _, router := range routers {
		next := ranked{
			router: router,
			score:  hwprompt.RendezvousScore(uint64(id), xxhash.Sum64String(router)),
		}
		i := 0
		for i < len(ranking) && ranking[i].score >= next.score {
			i++
		}
		if i == owners {
			continue
		}
		ranking = slices.Insert(ranking, i, next)
		ranking = ranking[:min(owners, len(ranking))]
	}
	names := make([]string, 0, owners)
	for _, r := range ranking {
		names = append(names, r.router)
	}
	return names
}

// Copies returns the routers that a router tells a stream that it serves.
func Copies(routers []string, id StreamID, self string) []string {
	others := slices.DeleteFunc(Owners(routers, id), func(router string) bool { return router == self })
	return others[:min(copies, len(others))]
}
