package budget

import (
	"flag"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain has random cases be the same each time; another -rapid.seed looks further.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func rate(whole, burst Amount, brokers int) Terms {
	return Terms{Kind: Rate, Whole: whole, Burst: burst, Floor: whole / 10 / int64(brokers), Brokers: brokers}
}

func sum(all []Amount) (n Amount) {
	for _, a := range all {
		n += a
	}
	return n
}

// TestDivision: what laws a division keeps, whatever is claimed.
func TestDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "claims")
		tm := Terms{Kind: Rate, Whole: rapid.Int64Range(0, 1e7).Draw(t, "whole"), Brokers: rapid.IntRange(1, 60).Draw(t, "brokers")}
		tm.Burst = int64(tm.Brokers) * Unit * 2
		tm.Floor = rapid.Int64Range(0, tm.Whole/int64(tm.Brokers)).Draw(t, "floor")
		free := tm.Free(n)
		claims := make([]Claim, n)
		for i := range claims {
			claims[i] = Claim{Has: rapid.Int64Range(0, free/int64(n)).Draw(t, "has"), Had: rapid.Int64Range(0, 1e6).Draw(t, "had"), Used: rapid.Int64Range(0, 2e6).Draw(t, "used"),
				Refused: rapid.Int64Range(0, 2e6).Draw(t, "refused"), Weight: rapid.Int64Range(0, 3).Draw(t, "weight")}
		}
		got := tm.Divide(free, claims)
		if s := sum(got); s > free || s < 0 {
			t.Fatalf("%d of %d", s, free)
		}
		again := tm.Divide(free, claims)
		wants, contended := make([]Amount, n), Amount(0)
		for i, c := range claims {
			if got[i] < 0 || got[i] != again[i] {
				t.Fatal("below nothing, or not the same twice")
			}
			wants[i] = tm.want(c, free, n)
			contended += wants[i]
		}
		slack := func(i int) Amount { return claims[i].Has/band + 2 } // what small changes may leave
		for i := range claims {
			if contended <= free && got[i]+slack(i) < wants[i] {
				t.Fatalf("%d wanted %d and got %d though there is enough", i, wants[i], got[i])
			}
			for j := range claims { // none has more for its weight than another that still wants
				wi, wj := max(claims[i].Weight, 1), max(claims[j].Weight, 1)
				if contended > free && got[i]+slack(i) < wants[i] && (got[j]-slack(j))/wj > (got[i]+slack(i))/wi+1 {
					t.Fatalf("%d has %d of %d wanted, %d has %d", i, got[i], wants[i], j, got[j])
				}
			}
		}
	})
}

// TestSettles: with constant loads shares come to rest within some rounds, and serve what can be served; who asks for what
// it has no use for gains nothing that it could use.
func TestSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "brokers")
		tm := rate(1e6, 1e6, n)
		free := tm.Free(n)
		load := make([]Amount, n)
		total := Amount(0)
		for i := range load {
			load[i] = rapid.Int64Range(0, 8e5/int64(n)).Draw(t, "load")
			if i == 0 {
				load[i] = 2e5 // one carries a fifth
			}
			total += load[i]
		}
		liar := rapid.IntRange(1, n-1).Draw(t, "liar")
		lies := rapid.Bool().Draw(t, "lies")
		claims := make([]Claim, n)
		round := func() {
			for i := range claims {
				can := claims[i].Has + tm.Floor
				claims[i].Had, claims[i].Used = can, min(load[i], can)
				claims[i].Refused = load[i] - claims[i].Used
			}
			if lies {
				claims[liar].Refused = 1e9
			}
			for i, s := range tm.Divide(free, claims) {
				claims[i].Has = s
			}
		}
		for range 8 {
			round()
		}
		at := make([]Amount, n)
		for i := range claims {
			at[i] = claims[i].Has
		}
		served := Amount(0)
		for i := range claims {
			served += min(load[i], claims[i].Has+tm.Floor)
		}
		if best := min(total, tm.Whole); !lies && served < best*95/100 {
			t.Fatalf("%d served of %d that all-knowing division would", served, best)
		}
		if lies && min(load[liar], claims[liar].Has+tm.Floor) > load[liar] {
			t.Fatal("gains by lying")
		}
		if lies { // and it does not take from the others what they would have without it
			for i := range claims {
				if even := free / int64(n); i != liar && min(load[i], even) > (claims[i].Has+tm.Floor)*9/8+2 {
					t.Fatalf("%d has %d of its even part %d, for a liar's sake", i, claims[i].Has+tm.Floor, even)
				}
			}
			return
		}
		for range 4 {
			round()
		}
		for i := range claims {
			if d := at[i] - claims[i].Has; max(d, -d) > at[i]/4+tm.Whole/100 {
				t.Fatalf("%d does not come to rest: %d, then %d", i, at[i], claims[i].Has)
			}
		}
	})
}

// TestSmall: shares under a unit, one broker left, nothing to divide, more brokers than were stated.
func TestSmall(t *testing.T) {
	tm := Terms{Kind: Rate, Whole: 40 * Unit, Burst: 300 * Unit, Brokers: 300}
	if err := tm.Check(); err != nil {
		t.Fatal(err)
	}
	claims := make([]Claim, 300)
	for i := range claims {
		claims[i].Refused = Unit
	}
	got := tm.Divide(tm.Free(300), claims)
	if s := sum(got); s > tm.Whole || s < tm.Whole-300 {
		t.Error("sum", s)
	}
	if got := tm.Divide(tm.Free(1), []Claim{{Used: Unit}}); got[0] != tm.Whole {
		t.Error("one alone has", got)
	}
	tm.Whole, tm.Floor = 0, 0
	if got := tm.Divide(tm.Free(300), claims); sum(got) != 0 || tm.Check() != nil {
		t.Error("of nothing", sum(got), tm.Check())
	}
	tm = rate(1000, 10*Unit, 10)
	if f := tm.Free(20); f != 1000-20*tm.Floor || tm.Free(5) != 1000-10*tm.Floor {
		t.Error("more than were stated", f, tm.Free(5))
	}
	for _, bad := range []Terms{{}, {Kind: Rate, Brokers: 0}, {Kind: Rate, Brokers: 2, Whole: -1}, {Kind: Rate, Brokers: 2, Whole: 10, Floor: 6, Burst: 2 * Unit},
		{Kind: Rate, Brokers: 2, Whole: 10, Burst: Unit}, {Kind: Stock, Brokers: 1, Linger: math.NaN()}, {Kind: 7, Brokers: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v", bad)
		}
	}
}

// TestPurses: several brokers' purses under shares that are cut, given, lapse and are told in any order spend, in every
// window, no more than the whole allows; one that stood still wakes with nothing beyond its floor.
func TestPurses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "brokers")
		tm := rate(int64(rapid.IntRange(1, 40).Draw(t, "whole"))*Unit, int64(n+rapid.IntRange(0, 20).Draw(t, "burst"))*Unit, n)
		free := tm.Free(n)
		drift := 0.1
		rates := make([]float64, n)
		purses := make([]*Purse, n)
		given := make([]Amount, n)  // by the council, not taken back yet
		until := make([]float64, n) // true time at which what is given lapses for the council
		for i := range purses {
			rates[i] = 1 + drift*float64(rapid.IntRange(-1, 1).Draw(t, "clock"))
			purses[i] = NewPurse(tm, drift, 0)
		}
		var spent []float64
		now := 0.0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.5).Draw(t, "gap")
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			clock := now * rates[i]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // cut, and told at once
				to := rapid.Int64Range(0, given[i]).Draw(t, "to")
				purses[i].Set(clock, to, purses[i].until)
				given[i] = to
			case 1: // raised by what is free, for two seconds
				room := free
				for k := range given {
					if now < until[k] {
						room -= given[k]
					}
				}
				if now >= until[i] {
					given[i] = 0
				}
				if room > 0 {
					given[i] += rapid.Int64Range(0, room).Draw(t, "more")
				}
				purses[i].Set(clock, given[i], clock+2*(1-drift))
				until[i] = now + 2
			default:
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					if purses[i].Spend(clock) {
						spent = append(spent, now)
					}
				}
			}
		}
		for a := range spent { // every window that begins and ends with a spending
			for b := a; b < len(spent); b++ {
				if k, most := float64(b-a+1), float64(tm.Whole)/float64(Unit)*(spent[b]-spent[a])+float64(tm.Burst)/float64(Unit); k > most+1e-6 {
					t.Fatalf("%v in a window of %v s, %v may be", k, spent[b]-spent[a], most)
				}
			}
		}
	})
}

// TestStill: one that stood still with a full purse wakes with its floor's unit only; a start begins with nothing saved.
func TestStill(t *testing.T) {
	tm := rate(10*Unit, 30*Unit, 2)
	p := NewPurse(tm, 0.01, 0)
	if p.Spend(0) {
		t.Error("spent at the start, what an earlier process may have spent")
	}
	p.Set(0, tm.Free(2), 10)
	n := 0
	for p.Spend(9) {
		n++
	}
	if n < 25 {
		t.Error(n, "saved in 9 s of the whole share")
	}
	p.Set(9, tm.Free(2), 20)
	n = 0
	for p.Spend(1000) {
		n++
	}
	if n != 1 {
		t.Error(n, "after its share had ended")
	}
	had, used, refused := p.Demand(1000)
	if used <= 0 || refused != 0 || had != tm.Floor {
		t.Error(had, used, refused)
	}
}

// TestStock: units are held up to the share; what is over after a cut has to be given back.
func TestStock(t *testing.T) {
	tm := Terms{Kind: Stock, Whole: 10 * Unit, Floor: Unit, Brokers: 2, Linger: 1}
	p := NewPurse(tm, 0.01, 0)
	if !p.Hold(0) || p.Hold(0) {
		t.Error("a floor of one")
	}
	p.Set(0, 3*Unit, 10)
	for range 3 {
		if !p.Hold(1) {
			t.Error("not its share")
		}
	}
	if p.Hold(1) || p.Over(1) != 0 {
		t.Error("more than its share")
	}
	p.Set(2, Unit, 10)
	if p.Over(2) != 2 || p.Hold(2) {
		t.Error("after a cut", p.Over(2))
	}
	p.Release()
	p.Release()
	if p.Over(2) != 0 || p.Over(11) != 1 {
		t.Error("after the end", p.Over(11))
	}
	if _, used, _ := p.Demand(11); used != 4*Unit {
		t.Error("peak", used)
	}
}

// TestFastClock: a clock at the bound of its drift saves up and spends no more than a true one.
func TestFastClock(t *testing.T) {
	tm := rate(10*Unit, 30*Unit, 2)
	const drift, ends = 0.1, 1000.0
	p := NewPurse(tm, drift, 0)
	n := 0
	for now := 0.0; now < ends; now += 0.01 {
		clock := now * (1 + drift)
		p.Set(clock, tm.Free(2), clock+1)
		for p.Spend(clock) {
			n++
		}
	}
	if most := ends*float64(tm.Free(2)+tm.Floor)/float64(Unit) + tm.depth(tm.Free(2)); float64(n) > most {
		t.Errorf("%d spent, %v may be", n, most)
	}
}

// TestLiar: one that says that it was refused though it did not use what it had gets no more for it; others have what it
// would have kept from them.
func TestLiar(t *testing.T) {
	tm := Terms{Kind: Rate, Whole: 1000 * Unit, Burst: 10 * Unit, Brokers: 2}
	got := tm.Divide(tm.Free(2), []Claim{{Has: 500 * Unit, Had: 500 * Unit, Used: 100 * Unit, Refused: 1e9}, {Has: 500 * Unit, Had: 500 * Unit, Used: 500 * Unit, Refused: 360 * Unit}})
	if got[1] < 860*Unit {
		t.Errorf("a liar keeps %d, who has use for it gets %d", got[0], got[1])
	}
}

// TestCutBurst: what was saved up goes with the share that is cut.
func TestCutBurst(t *testing.T) {
	tm := rate(10*Unit, 40*Unit, 2)
	p := NewPurse(tm, 0, 0)
	p.Set(0, tm.Free(2), 1000)
	p.Spend(100)
	p.Set(100, 0, 1000)
	n := 0
	for p.Spend(100) {
		n++
	}
	if n > 1 {
		t.Errorf("%d units of a burst kept through a cut", n)
	}
}
