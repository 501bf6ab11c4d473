package replayguard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Draws are the same in every run: CI must not differ from one run to the next. Seek further with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

var settings = Settings{MaxAge: 60 * time.Second, MaxClockSkew: 5 * time.Second, WatermarkStep: 4 * time.Second, MaxEntries: 8, MaxAnswerBytes: 100}

func at(s int64) time.Time { return time.Unix(1000000+s, 0) }

func message(id string, stamp int64) Message {
	return Message{Key: Key{0, id}, Stamp: at(stamp), Digest: [32]byte{1}}
}

func fresh(now int64) *Guard {
	g := NewGuard(settings, at(now), time.Time{})
	mark, _ := g.WatermarkDue(at(now))
	g.WatermarkSaved(mark)
	return g
}

func TestTake(t *testing.T) {
	g := fresh(100)
	take := func(now int64, m Message, want Verdict) Answer {
		t.Helper()
		if mark, short := g.WatermarkDue(at(now)); short {
			g.WatermarkSaved(mark)
		}
		v, a, _ := g.Take(at(now), m)
		if v != want {
			t.Errorf("at %d, %s stamped %d: %v, want %v", now, m.ID, m.Stamp.Unix()-1000000, v, want)
		}
		return a
	}
	take(100, message("a", 100), New)
	take(100, message("a", 100), Replay)
	take(101, message("a", 99), Replay) // an older try that was held back
	take(101, message("a", 101), Join)
	take(101, message("a", 101), Replay)
	other := message("a", 102)
	other.Digest = [32]byte{2}
	take(102, other, Reused)
	g.Ended(Key{0, "a"}, Answer{Status: 200, Body: []byte("served")})
	if a := take(103, message("a", 103), Cached); string(a.Body) != "served" {
		t.Errorf("kept %q", a.Body)
	}
	take(103, message("b", 103), New)
	g.Ended(Key{0, "b"}, Answer{Rejected: true, Status: 503})
	take(104, message("b", 104), Retry)
	take(104, message("b", 104), Replay)
	take(104, message("b", 105), Join)
	take(105, message("c", 45), Stale)
	take(105, message("c", 46), New)
	take(105, message("c", 110), Early)
	take(105, message("d", 109), New)
	m := message("a", 106)
	m.Client = 1
	take(106, m, New) // ids are unique within a client only
	big := message("big", 106)
	take(106, big, New)
	g.Ended(big.Key, Answer{Status: 200, Body: make([]byte, 95)})
	take(107, message("big", 107), AnswerEvicted)
	take(107, message("e", 107), New)
	take(107, message("f", 107), New)
	take(107, message("g", 107), AtCapacity)
	// a clock set back reopens nothing
	take(100, message("g", 47), Stale)
	// in time all are forgotten that could only be stale; what runs is not
	take(400, message("h", 400), New)
	if n := g.Len(); n != 7 { // b, c, d, e, f and the other client's a run; h is new
		t.Errorf("%d remembered", n)
	}
}

// TestRestart tells the argument by example: kill, clean stop, a clock set back, a mark that cannot be written.
func TestRestart(t *testing.T) {
	g := fresh(100)
	g.Take(at(100), message("a", 104)) // as far ahead as is taken
	mark := at(109)                    // 100 + Future + Ahead is on disk
	if m, short := g.WatermarkDue(at(100)); short || !m.Equal(mark) {
		t.Errorf("mark %v short %v", m, short)
	}
	g = NewGuard(settings, at(101), mark)
	w, _ := g.WatermarkDue(at(101))
	g.WatermarkSaved(w)
	if v, _, after := g.Take(at(101), message("a", 104)); v != Unsettled || after != 6*time.Second {
		t.Errorf("after a kill: %v, %v", v, after)
	}
	if v, _, _ := g.Take(at(105), message("a", 109)); v != Unsettled {
		t.Errorf("at the mark: %v", v)
	}
	w, _ = g.WatermarkDue(at(106))
	g.WatermarkSaved(w)
	if v, _, _ := g.Take(at(106), message("a", 110)); v != New {
		t.Errorf("past the mark: %v", v)
	}
	clean := g.FinalWatermark()
	if !clean.Equal(at(110)) {
		t.Errorf("clean stop at %v", clean)
	}
	if v, _, _ := g.Take(at(107), message("z", 111)); v != Unsettled {
		t.Errorf("taken after the mark of a clean stop: %v", v)
	}
	g = NewGuard(settings, at(50), clean) // the machine's clock was set back by a minute
	w, _ = g.WatermarkDue(at(50))
	g.WatermarkSaved(w)
	if v, _, _ := g.Take(at(50), message("a", 50)); v != Unsettled {
		t.Errorf("clock set back: %v", v)
	}
	g = fresh(100)
	if v, _, _ := g.Take(at(120), message("a", 120)); v != Unsettled {
		t.Errorf("with the mark not written for 20 s: %v", v)
	}
}

// No message runs twice but as a retry after a refusal, whatever the clock does and whenever the process dies.
func TestReplayProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(1000)
		disk := time.Time{}
		g := NewGuard(settings, at(now), disk)
		save := func() {
			if m, short := g.WatermarkDue(at(now)); short {
				if rapid.IntRange(0, 5).Draw(t, "disk") > 0 { // else it fails, and the old mark stays
					disk = m
					g.WatermarkSaved(m)
				}
			}
		}
		save()
		ran := map[string]bool{} // messages, by id and stamp
		running := map[string]bool{}
		refused := map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // killed
				g = NewGuard(settings, at(now), disk)
				clear(running)
				clear(refused)
				save()
			case 1: // stopped and started
				disk = g.FinalWatermark()
				g = NewGuard(settings, at(now), disk)
				clear(running)
				clear(refused)
				save()
			case 2:
				now += int64(rapid.IntRange(-90, 90).Draw(t, "jump"))
			case 3:
				for _, id := range []string{"a", "b", "c", "d"} {
					if !running[id] {
						continue
					}
					r := rapid.Bool().Draw(t, "refused")
					g.Ended(Key{0, id}, Answer{Rejected: r})
					refused[id] = r
					delete(running, id)
					break
				}
			default:
				now += int64(rapid.IntRange(0, 2).Draw(t, "dt"))
				save()
				id := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "id")))
				m := message(id, now+int64(rapid.IntRange(-65, 7).Draw(t, "skew")))
				name := fmt.Sprint(id, m.Stamp.Unix())
				v, _, _ := g.Take(at(now), m)
				switch v {
				case New, Retry:
					if ran[name] {
						t.Fatalf("message %s ran again", name)
					}
					if running[id] {
						t.Fatalf("%s runs twice at once", id)
					}
					if v == Retry && !refused[id] {
						t.Fatalf("%s is a retry of what was not refused", id)
					}
					ran[name], running[id] = true, true
				case Join:
					if !running[id] {
						t.Fatalf("%s joins what does not run", id)
					}
				}
			}
		}
	})
}
