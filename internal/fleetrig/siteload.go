package fleetrig

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackenfront/internal/standin"
)

// LoadResult holds the outcomes of the searches that one call of Site.Load sends. It may be used from any goroutine, also while searches
// are still sent.
type LoadResult struct {
	// mu guards searches.
	mu sync.Mutex
	// searches are the results of the searches that have ended, in the order of their ends until SuccessShares sorts them by sentAt.
	searches []searchResult
}

// searchResult is when one search was sent and whether it succeeded.
type searchResult struct {
	// sentAt is when the search was sent.
	sentAt time.Time
	// succeeded says that the search was answered within a second and not rejected or failed.
	succeeded bool
}

// minWindowSearches is the least number of searches with which a window counts for the lowest share of SuccessShares.
const minWindowSearches = 20

// SuccessShares returns the number n of searches that have ended and the shares of them, from 0 to 1, that succeeded: all is the share
// of all searches, worst the lowest share of the searches sent within any window of a second that ends more than a second after the
// first search was sent. Only windows with at least minWindowSearches searches count for worst, which is 1 if there are none. All results
// are 0 if no search has ended.
func (r *LoadResult) SuccessShares() (n int, all, worst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.searches, func(a, b searchResult) int { return a.sentAt.Compare(b.sentAt) })
	worst = 1
	// succeeded counts all searches so far, and windowSucceeded those of the window, which begins at index windowStart.
	succeeded, windowStart, windowSucceeded := 0, 0, 0
	for i, search := range r.searches {
		if search.succeeded {
			succeeded++
			windowSucceeded++
		}
		for ; search.sentAt.Sub(r.searches[windowStart].sentAt) > time.Second; windowStart++ {
			if r.searches[windowStart].succeeded {
				windowSucceeded--
			}
		}
		if inWindow := i - windowStart + 1; inWindow >= minWindowSearches && search.sentAt.Sub(r.searches[0].sentAt) > time.Second {
			worst = min(worst, float64(windowSucceeded)/float64(inWindow))
		}
	}
	if len(r.searches) == 0 {
		return 0, 0, 0
	}
	return len(r.searches), float64(succeeded) / float64(len(r.searches)), worst
}

// Load starts a number of senders, goroutines that send searches to the brokers in turn, whether these run or not, with a pause after each
// search, until ctx ends. r gets the outcomes; wait blocks until all senders have ended.
func (s *Site) Load(ctx context.Context, senders int, pause time.Duration) (r *LoadResult, wait func()) {
	r = &LoadResult{}
	var running sync.WaitGroup
	var turn atomic.Int64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range senders {
		running.Go(func() {
			for ctx.Err() == nil {
				n := turn.Add(1)
				request, cancel := context.WithTimeout(context.Background(), time.Second)
				sentAt := time.Now()
				search := standin.Search{Class: "all", ID: fmt.Sprintf("r%d", n), Dealer: "acme", Shards: []int{0, 1}, TimeLeft: 900 * time.Millisecond}
				outcome, err := search.SendOverHTTP(request, client, s.Programs[n%int64(len(s.Programs))].ClientAddr)
				cancel()
				r.mu.Lock()
				r.searches = append(r.searches, searchResult{sentAt, err == nil && outcome.End == "answered"})
				r.mu.Unlock()
				sleep(ctx, pause)
			}
		})
	}
	return r, running.Wait
}
