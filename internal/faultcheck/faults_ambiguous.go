package faultcheck

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// ambiguousFaults returns the faults by which clients send requests that two correct HTTP or JSON parsers can read differently, and
// requests that only look like that. A request that got no answer, or an answer of status 500 or above, is delivered a second time.
func ambiguousFaults() []InjectedFault {
	ambiguousFault := func(name, description string, write func(random *rand.Rand, s search) ambiguousRequest) InjectedFault {
		fault := clientFault(name, description, func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
			request := write(random, s)
			options := deliveryOptions{fault: name, rawRequest: request.bytes, ambiguous: request.ambiguous}
			if d := r.client.deliver(b, s, options); d.Status == 0 || d.Status >= 500 {
				r.client.deliver(b, s, options)
			}
		})
		fault.adjustSetting = func(s *Setting) { s.PartialIsReadLike = true }
		return fault
	}
	return []InjectedFault{
		ambiguousFault("field-twice", "a header field twice with two values, or its name in another case", repeatedField),
		ambiguousFault("json-twice", "a name of the JSON body twice, or in another case", repeatedMember),
		ambiguousFault("path-ambiguous", "a path that could be read two ways", ambiguousPath),
	}
}

// ambiguousRequest is a request that looks as if it could be read in two ways.
type ambiguousRequest struct {
	// bytes are the whole HTTP request.
	bytes string
	// ambiguous is set if two correct parsers take the bytes for different requests.
	ambiguous bool
}

// oneOf returns one of the requests at random, each with the same probability.
func oneOf(random *rand.Rand, requests ...ambiguousRequest) ambiguousRequest {
	return requests[random.IntN(len(requests))]
}

// repeatedField builds a random request for the search in which one header field comes twice, the second time just before Content-Length.
func repeatedField(random *rand.Rand, s search) ambiguousRequest {
	with := func(line string, ambiguous bool) ambiguousRequest {
		return ambiguousRequest{s.requestBytes("/"+s.class, s.body(), line), ambiguous}
	}
	return oneOf(random,
		with("X-Trace-Id: "+s.id+"-2", true),
		with("x-trace-id: "+s.id+"-2", true),
		with("X-TRACE-ID: "+s.id, false),
		with("X-Qos: "+ClassPartial, s.class != ClassPartial),
		with("X-Qos: "+ClassWhole, s.class != ClassWhole),
		with("x-qos: "+ClassTwoStep, s.class != ClassTwoStep),
		with("X-Expires-In: 5000m", true),
		with("X-Expires-In: 1m", true),
		with("x-expires-in: 60000m", true),
		with("X-Customer: nobody", true))
}

// repeatedMember builds a random request for the search whose JSON body has one member name twice. A name in another letter case is a
// different one by RFC 8259, and the same one to parsers that ignore case.
func repeatedMember(random *rand.Rand, s search) ambiguousRequest {
	body := s.body()
	first := fmt.Sprintf(`"bucket":%d,`, s.shards[0])
	other := fmt.Sprintf(`"bucket":%d,`, (s.shards[0]+1)%3)
	inOtherCase := strings.Replace(other, "bucket", "Bucket", 1)
	replacing := func(by string, ambiguous bool) ambiguousRequest {
		return ambiguousRequest{s.requestBytes("/"+s.class, strings.Replace(body, first, by, 1)), ambiguous}
	}
	appending := func(member string) ambiguousRequest {
		return ambiguousRequest{s.requestBytes("/"+s.class, strings.TrimSuffix(body, "}")+member+"}"), true}
	}
	prepending := func(member string) ambiguousRequest {
		return ambiguousRequest{s.requestBytes("/"+s.class, "{"+member+body[1:]), true}
	}
	return oneOf(random,
		replacing(first+first, false),
		replacing(other+first, true),
		replacing(first+other, true),
		replacing(inOtherCase+first, true),
		replacing(first+inOtherCase, true),
		replacing(first+fmt.Sprintf(`"BUCKET":%d,`, s.shards[0]), false),
		appending(`,"buckets":[{"part":0.5}]`),
		appending(`,"body":"another"`),
		appending(`,"Body":"another"`),
		prepending(`"body":"another",`),
		prepending(`"Body":"another",`))
}

// ambiguousPath builds a random request for the search whose path names another class to some parsers, or none. The class of X-Qos is
// always the search's.
func ambiguousPath(random *rand.Rand, s search) ambiguousRequest {
	with := func(path string, ambiguous bool) ambiguousRequest {
		return ambiguousRequest{s.requestBytes(path, s.body()), ambiguous}
	}
	return oneOf(random,
		with("/"+ClassPartial+"/../"+s.class, s.class != ClassPartial),
		with("//"+s.class, false),
		with("/"+s.class+"/", false),
		with("/"+s.class+"%2F"+ClassPartial, false),
		with("/"+s.class+"/..", false),
		with("/./"+s.class, false),
		with("/"+strings.ToUpper(s.class), false),
		with("/%77hole", s.class != ClassWhole),
		with("/"+s.class+"?x=/"+ClassPartial, false),
		with("http://origin.svc/"+s.class, false))
}
