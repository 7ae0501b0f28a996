package kit2

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// badFlightClients is how many clients stop in the middle of a request: pages speak of clients that connect by the hundred.
const badFlightClients = 100

// halfRequest is a client over Flight that sends the head of a DoGet call and nothing of its message, reads what it is sent,
// answers pings, and stays.
type halfRequest struct {
	conn   net.Conn
	framer *http2.Framer
	// ended is closed once the client has got an error or the connection has ended.
	ended chan struct{}
	how   string
}

func startHalfRequest(addr string) (*halfRequest, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	h := &halfRequest{conn: conn, ended: make(chan struct{})}
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		conn.Close()
		return nil, err
	}
	h.framer = http2.NewFramer(conn, conn)
	h.framer.WriteSettings()
	var head bytes.Buffer
	encoder := hpack.NewEncoder(&head)
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/arrow.flight.protocol.FlightService/DoGet"},
		{":authority", addr}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes(), EndHeaders: true})
	go func() {
		defer close(h.ended)
		for {
			frame, err := h.framer.ReadFrame()
			if err != nil {
				h.how = "its connection was closed"
				return
			}
			switch frame := frame.(type) {
			case *http2.PingFrame:
				if !frame.IsAck() {
					h.framer.WritePing(true, frame.Data)
				}
			case *http2.SettingsFrame:
				if !frame.IsAck() {
					h.framer.WriteSettingsAck()
				}
			case *http2.HeadersFrame, *http2.RSTStreamFrame, *http2.GoAwayFrame:
				h.how = "it got " + frame.Header().Type.String()
				return
			}
		}
	}()
	return h, nil
}

// halfFlightRequests lets clients stop in the middle of a request over Flight, and looks at what honest clients get.
func halfFlightRequests(r *run) (int, error) {
	d, err := newDiscovery()
	if err != nil {
		return 0, err
	}
	for i := range 2 {
		addr, stop, err := startFlightNode()
		if err != nil {
			return 0, err
		}
		defer stop()
		d.set(host{Host: fmt.Sprintf("s-%d", i), Dial: addr, Site: "a", Class: "m2", Block: i, Health: "active", Share: 1, Speaks: "flight"})
	}
	settings := smallSettings()
	settings["lanes"] = []map[string]any{{"name": "price", "effect": "read_like", "target": 1000, "giveUp": 4000, "worth": 1, "lateWorth": 0.1, "window": 4000}}
	settings["familyInfo"] = map[string]any{"perCall": 1, "places": 2, "reach": 1, "slices": 2, "classNeed": []float64{1}, "minShare": []float64{1},
		"incompleteWorth": []float64{0}, "fetchParts": []int{0}}
	listen, flightListen, config := freeAddr(), freeAddr(), r.path("b1.json")
	if err := writeConfig(config, "b1", listen, d.addr(), d.known(), settings); err != nil {
		return 0, err
	}
	if _, err := r.start("b1", "exec bin/brackenflight --set flight.leaves=true --set flight.listen="+flightListen, listen, config); err != nil {
		return 0, err
	}
	var bad []*halfRequest
	var mu sync.Mutex
	unanswered := 0
	if r.trouble {
		r.note("%d clients connect over Flight, send the head of a request and stop", badFlightClients)
		for range badFlightClients {
			if h, err := startHalfRequest(flightListen); err == nil {
				bad = append(bad, h)
			}
		}
	}
	// ask sends an honest search on a new connection.
	answered, refused := 0, 0
	ask := func() {
		c, err := newFlightClient(flightListen)
		if err != nil {
			return
		}
		began := time.Now()
		schema, err := c.get("price")
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			refused++
			r.note("an honest client, %.3f s: %v", time.Since(began).Seconds(), err)
			return
		}
		answered++
		r.note("an honest client, %.3f s: %s", time.Since(began).Seconds(), columns(schema))
	}
	for range 20 {
		time.Sleep(2 * time.Second)
		left := 0
		for _, h := range bad {
			select {
			case <-h.ended:
			default:
				left++
			}
		}
		unanswered = left
		r.note("%d of %d bad clients have neither an error nor a close", left, len(bad))
		ask()
	}
	hows := map[string]int{}
	for _, h := range bad {
		select {
		case <-h.ended:
			hows[h.how]++
		default:
		}
		h.conn.Close()
	}
	for how, count := range hows {
		r.note("%d bad clients: %s", count, how)
	}
	r.note("honest clients: %d answered, %d not", answered, refused)
	// The rule is the error or close; a bad client has had some 40 s for it.
	if unanswered > 0 {
		return broken, nil
	}
	return held, nil
}
