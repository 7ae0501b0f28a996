package trials

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"brackenfront/chance"
)

// TestMain has random cases be the same each time; another -rapid.seed looks further.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func book(name string, seed uint64) *Book {
	rnd := &chance.Source{}
	rnd.Seed(seed)
	return New(name, rnd)
}

func hear(t *testing.T, b *Book, at float64, by string, k Kind, want Verdict) {
	t.Helper()
	if v := b.Hear(at, Fact{Node: "n", By: by, Kind: k}); v != want {
		t.Errorf("at %v, %s: %d, wanted %d", at, by, v, want)
	}
}

func ask(t *testing.T, b *Book, at float64, want Verdict) {
	t.Helper()
	if v := b.Ask(at, "n"); v != want {
		t.Errorf("asked at %v: %d, wanted %d", at, v, want)
	}
}

// TestForAll: whoever tries for all is asked, tries once for many wishes, and what it finds meets them.
func TestForAll(t *testing.T) {
	lead, b := book("lead", 1), book("b", 2)
	lead.Lead(true)
	ask(t, b, 0, Wait)
	if s := b.Say(); len(s) != 1 || s[0].Kind != Wanted {
		t.Fatal(s)
	}
	hear(t, lead, 0, "b", Wanted, Own)
	hear(t, lead, 0.1, "c", Wanted, Wait) // at it
	lead.Found(0.2, "n", false)
	hear(t, lead, 0.3, "d", Wanted, Wait) // just now
	hear(t, lead, 0.6, "d", Wanted, Own)
	s := lead.Say()
	if len(s) != 3 || s[0].Kind != Trying || s[1].Kind != Fails || s[1].Many != 2 || s[2].Kind != Trying {
		t.Fatal(s)
	}
	hear(t, b, 0.2, "lead", Trying, Wait)
	if _, ok, again := b.Due(0.5); ok || again != 2.2 {
		t.Error("waits no longer though somebody is at it:", ok, again)
	}
	hear(t, b, 0.6, "lead", Fails, Out)
	ask(t, b, 1, Out)
	hear(t, b, 1.2, "lead", Works, Wait) // nobody waits
	ask(t, b, 1.3, Back)
	if lead.For != 2 || b.Counts.Own != 0 || b.Counts.Back != 1 || b.Counts.Out != 2 {
		t.Errorf("%+v %+v", lead.Counts, b.Counts)
	}
}

// TestAlone: without news in time a broker tries for itself, and does not wait for ever on somebody who began to.
func TestAlone(t *testing.T) {
	b := book("b", 1)
	ask(t, b, 0, Wait)
	if _, ok, again := b.Due(0.1); ok || again != patience {
		t.Error(ok, again)
	}
	if name, ok, _ := b.Due(patience); !ok || name != "n" {
		t.Error("still waits")
	}
	if _, ok, _ := b.Due(9); ok {
		t.Error("twice")
	}
	b.Found(0.5, "n", false)
	ask(t, b, 5, Wait)
	hear(t, b, 5.1, "lead", Trying, Wait)
	if _, ok, _ := b.Due(5.1 + longer); !ok {
		t.Error("waits for ever for one that is at it")
	}
	b.Found(8, "n", false)
	ask(t, b, 20, Wait)
	for at := 20.1; at < 30; at++ {
		hear(t, b, at, "liar", Trying, Wait)
	}
	if _, ok, _ := b.Due(20 + 2*longer); !ok {
		t.Error("waits as long as somebody says that he is at it")
	}
}

// TestLess: news weigh less than what a broker knows itself.
func TestLess(t *testing.T) {
	b := book("b", 1) // misled: the trial after "back" failed
	hear(t, b, 0, "lead", Works, Wait)
	ask(t, b, 0.1, Back)
	hear(t, b, 1, "lead", Works, Wait)
	ask(t, b, 1.5, Own)
	b.Found(1.6, "n", false)
	hear(t, b, 20, "lead", Works, Wait)
	ask(t, b, 20.1, Own)
	b.Found(20.2, "n", false)
	hear(t, b, 40, "lead", Works, Wait)
	ask(t, b, 40.1, Back)
	if b.Misled != 1 {
		t.Error(b.Counts)
	}

	b = book("b", 1) // "out" is believed for so long
	last := 0.0
	for at := 0.0; at < 200; at += 0.5 {
		hear(t, b, at, "lead", Fails, Wait)
		if b.Ask(at, "n") == Own {
			if gap := at - last; gap < few*0.75 || gap > few*1.25+1 {
				t.Errorf("its own try at %v, %v after the last", at, gap)
			}
			b.Found(at, "n", false)
			last = at
		}
	}
	if last < 150 {
		t.Error("believed for ever: its own last try at", last)
	}

	b = book("b", 1) // accounts differ
	hear(t, b, 0, "lead", Fails, Wait)
	ask(t, b, 0.1, Out)
	hear(t, b, 0.5, "c", Works, Wait)
	ask(t, b, 0.6, Own)
	b = book("b", 1)
	hear(t, b, 0, "lead", Fails, Wait) // it changed its mind
	hear(t, b, 0.5, "lead", Works, Wait)
	ask(t, b, 0.6, Back)
}

// TestBounded: news of many nodes, of nobody, or in an unknown form fill nothing; what is not spoken of is forgotten.
func TestBounded(t *testing.T) {
	b := book("b", 1)
	for i := range 3 * nodes {
		b.Hear(1, Fact{Node: fmt.Sprint("n", i), By: "x", Kind: Fails})
	}
	if len(b.all) > nodes {
		t.Error(len(b.all), "nodes")
	}
	if v := b.Ask(1, "another"); v != Own {
		t.Error("no room, and not its own try:", v)
	}
	for _, f := range []Fact{{By: "x", Kind: Works}, {Node: "n", Kind: Works}, {Node: "n", By: "x"}, {Node: "n", By: "x", Kind: 9}, {Node: "n", By: "x", Kind: Works, Many: -1},
		{Node: string(make([]byte, 300)), By: "x", Kind: Works}} {
		if f.Check() {
			t.Errorf("%+v", f)
		}
	}
	b.Ask(2+forget, "more")
	if len(b.all) != 1 {
		t.Error(len(b.all), "nodes later")
	}
}

// TestWorlds: whatever is heard, each wish of the module is met once, in bounded time, and a broker tries for itself within
// a bounded time while it wants to, whatever others say.
func TestWorlds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := book("b", rapid.Uint64().Draw(t, "seed"))
		now, own, since := 0.0, 0.0, -1.0
		met := func(v Verdict) {
			if v == Wait {
				return
			}
			if since < 0 {
				t.Fatal("met without a wish, or twice")
			}
			since = -1
			if v == Own {
				b.Found(now, "n", false)
			}
			if v != Out { // a part of its own goes there
				own = now
			}
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.4).Draw(t, "gap")
			if _, ok, _ := b.Due(now); ok {
				met(Own)
			}
			if since >= 0 && now-since > 2*longer+0.5 {
				t.Fatalf("a wish of %v is not met at %v", since, now)
			}
			if rapid.Bool().Draw(t, "ask") && since < 0 {
				since = now
				met(b.Ask(now, "n"))
			} else {
				f := Fact{Node: "n", By: rapid.SampledFrom([]string{"x", "liar"}).Draw(t, "by"), Kind: Kind(rapid.IntRange(2, 4).Draw(t, "kind"))}
				if v := b.Hear(now, f); v != Wait {
					met(v)
				}
			}
			if now-own > most*1.25+2*longer+2 {
				t.Fatalf("believes others since %v, at %v", own, now)
			}
		}
	})
}
