package main

import (
	"net"
	"net/http"
	"regexp"
	"testing"
)

// TestReadyAlone: a process with a list in its configuration is ready by its own start: discovery may refuse connections or
// never say a word, and no node is asked anything.
func TestReadyAlone(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	for how, discovery := range map[string]string{"silent": silent.Addr().String(), "down": refusing.Addr().String()} {
		t.Run(how, func(t *testing.T) {
			p := start(t, `"discovery":"127`, `"discovery":"`+discovery+`","unused":"127`)
			p.addr = regexp.MustCompile(`listen="([^"]+)"`).FindStringSubmatch(p.line("msg=serving"))[1]
			res, err := p.http.Get("http://" + p.addr + "/healthz")
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("the first question whether it is ready: %v %v", res, err)
			}
			res.Body.Close()
			if nodes := p.connections(); nodes != 0 {
				t.Errorf("%d connections to nodes before any query", nodes)
			}
			p.whole("all", []int{0, 1}, 0, 1)
			p.stop()
		})
	}
}

// connections counts what nodes have accepted.
func (p *program) connections() (n int) {
	p.note(func() {
		for _, node := range p.nodes {
			n += node.conns
		}
	})
	return n
}
