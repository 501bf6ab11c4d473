package replayguard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The draws are the same in every run, so that CI does not differ from one run to the next. Search further with
// -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

var settings = Settings{
	MaxAge:         60 * time.Second,
	MaxClockSkew:   5 * time.Second,
	WatermarkStep:  4 * time.Second,
	MaxEntries:     8,
	MaxAnswerBytes: 100,
}

// epoch is the time of day that tests count seconds from.
const epoch = 1000000

func at(seconds int64) time.Time { return time.Unix(epoch+seconds, 0) }

func message(id string, stamp int64) Message {
	return Message{Key: Key{0, id}, Timestamp: at(stamp), Digest: [32]byte{1}}
}

// newGuard returns a guard that found no watermark, and whose first one has been written.
func newGuard(now int64) *Guard {
	g := NewGuard(settings, at(now), time.Time{})
	watermark, _ := g.WatermarkDue(at(now))
	g.WatermarkSaved(watermark)
	return g
}

// saveWatermark writes the watermark if it is due.
func saveWatermark(g *Guard, now int64) {
	if watermark, due := g.WatermarkDue(at(now)); due {
		g.WatermarkSaved(watermark)
	}
}

// expect gives the guard a message, with the watermark up to date, and checks the verdict on it.
func expect(t *testing.T, g *Guard, now int64, m Message, want Verdict) Answer {
	t.Helper()
	saveWatermark(g, now)
	verdict, cached, _ := g.Admit(at(now), m)
	if verdict != want {
		t.Errorf("at %d, %s stamped %d: verdict %v, want %v", now, m.ID, m.Timestamp.Unix()-epoch, verdict, want)
	}
	return cached
}

func TestSameTimestampIsReplayAndNewerOneJoinsCallInFlight(t *testing.T) {
	g := newGuard(100)
	expect(t, g, 100, message("a", 100), New)
	expect(t, g, 100, message("a", 100), Replay)
	expect(t, g, 101, message("a", 99), Replay) // an older attempt, delayed on its way
	expect(t, g, 101, message("a", 101), Join)
	expect(t, g, 101, message("a", 101), Replay)
}

func TestIDCannotBeReusedForAnotherMessage(t *testing.T) {
	g := newGuard(100)
	expect(t, g, 100, message("a", 100), New)
	other := message("a", 102)
	other.Digest = [32]byte{2}
	expect(t, g, 102, other, IDReused)
}

func TestIDsAreUniqueWithinClientOnly(t *testing.T) {
	g := newGuard(100)
	expect(t, g, 100, message("a", 100), New)
	otherClient := message("a", 100)
	otherClient.Client = 1
	expect(t, g, 100, otherClient, New)
}

func TestRetryAfterEndGetsCachedAnswer(t *testing.T) {
	g := newGuard(102)
	expect(t, g, 102, message("a", 102), New)
	g.Complete(Key{0, "a"}, Answer{Status: 200, Body: []byte("served")})
	if cached := expect(t, g, 103, message("a", 103), Cached); string(cached.Body) != "served" {
		t.Errorf("cached answer %q", cached.Body)
	}
}

func TestRetryAfterRejectionIsExecutedOnce(t *testing.T) {
	g := newGuard(103)
	expect(t, g, 103, message("b", 103), New)
	g.Complete(Key{0, "b"}, Answer{Rejected: true, Status: 503})
	expect(t, g, 104, message("b", 104), Retry)
	expect(t, g, 104, message("b", 104), Replay)
	expect(t, g, 104, message("b", 105), Join)
}

func TestTimestampMustLieWithinRange(t *testing.T) {
	g := newGuard(105)
	expect(t, g, 105, message("c", 45), Stale)
	expect(t, g, 105, message("c", 46), New)
	expect(t, g, 105, message("c", 110), Early)
	expect(t, g, 105, message("d", 109), New)
}

func TestAnswerThatDoesNotFitIsNotCached(t *testing.T) {
	g := newGuard(102)
	expect(t, g, 102, message("a", 102), New)
	g.Complete(Key{0, "a"}, Answer{Status: 200, Body: []byte("served")})
	expect(t, g, 106, message("big", 106), New)
	g.Complete(Key{0, "big"}, Answer{Status: 200, Body: make([]byte, 95)}) // 6 + 95 bytes are over the limit
	expect(t, g, 107, message("big", 107), AnswerEvicted)
}

func TestFullGuardRejectsNewIDsUntilOldOnesAreStale(t *testing.T) {
	g := newGuard(107)
	for i := range settings.MaxEntries {
		expect(t, g, 107, message(fmt.Sprint("id", i), 107), New)
	}
	expect(t, g, 107, message("further", 107), AtCapacity)
	g.Complete(Key{0, "id0"}, Answer{Status: 200})
	expect(t, g, 400, message("further", 400), New)
	// The calls in flight stay, and the new one takes the place of the one that ended.
	if n := g.Len(); n != settings.MaxEntries {
		t.Errorf("%d ids remembered, want %d", n, settings.MaxEntries)
	}
}

func TestClockSetBackMakesNoOldMessageAcceptable(t *testing.T) {
	g := newGuard(107)
	expect(t, g, 107, message("a", 107), New)
	expect(t, g, 100, message("g", 47), Stale)
}

// A crash loses the memory: what may have been accepted before is rejected, up to the watermark.
func TestCrashRejectsMessagesUpToWatermark(t *testing.T) {
	g := newGuard(100)
	expect(t, g, 100, message("a", 104), New) // as far ahead as is accepted
	watermark := at(109)                      // 100 + MaxClockSkew + WatermarkStep is on disk
	if due, replace := g.WatermarkDue(at(100)); replace || !due.Equal(watermark) {
		t.Errorf("watermark %v, to be replaced %v", due, replace)
	}

	g = NewGuard(settings, at(101), watermark)
	saveWatermark(g, 101)
	verdict, _, retryAfter := g.Admit(at(101), message("a", 104))
	if verdict != PossibleReplay || retryAfter != 6*time.Second {
		t.Errorf("after the crash: verdict %v, retry after %v", verdict, retryAfter)
	}
	expect(t, g, 105, message("a", 109), PossibleReplay)
	expect(t, g, 106, message("a", 110), New)
}

// A clean stop costs nothing: the watermark is the highest timestamp accepted, and none above it is accepted after.
func TestCleanStopRejectsOnlyWhatWasAccepted(t *testing.T) {
	g := newGuard(106)
	expect(t, g, 106, message("a", 110), New)
	watermark := g.FinalWatermark()
	if !watermark.Equal(at(110)) {
		t.Errorf("final watermark %v, want %v", watermark, at(110))
	}
	if verdict, _, _ := g.Admit(at(107), message("z", 111)); verdict != PossibleReplay {
		t.Errorf("message above the final watermark: verdict %v", verdict)
	}

	g = NewGuard(settings, at(50), watermark) // the machine's clock was set back by a minute meanwhile
	saveWatermark(g, 50)
	if verdict, _, _ := g.Admit(at(50), message("a", 50)); verdict != PossibleReplay {
		t.Errorf("clock set back: verdict %v", verdict)
	}
}

func TestWatermarkThatCannotBeWrittenRejectsMessagesAboveIt(t *testing.T) {
	g := newGuard(100)
	if verdict, _, _ := g.Admit(at(120), message("a", 120)); verdict != PossibleReplay {
		t.Errorf("watermark not written for 20 s: verdict %v", verdict)
	}
}

// crashable is a guard whose process stops, crashes and restarts, and whose disk fails now and then.
type crashable struct {
	guard     *Guard
	now       int64
	onDisk    time.Time       // the watermark
	executed  map[string]bool // messages, by id and timestamp
	running   map[string]bool // ids
	retryable map[string]bool // ids whose last attempt was rejected
}

// No message is executed twice but as a retry after a rejection, whatever the clock does and whenever the process
// crashes.
func TestNoMessageIsExecutedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &crashable{
			guard:     NewGuard(settings, at(1000), time.Time{}),
			now:       1000,
			executed:  map[string]bool{},
			running:   map[string]bool{},
			retryable: map[string]bool{},
		}
		c.save(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // crash
				c.restart(t)
			case 1: // clean stop
				c.onDisk = c.guard.FinalWatermark()
				c.restart(t)
			case 2:
				c.now += int64(rapid.IntRange(-90, 90).Draw(t, "clock jump"))
			case 3:
				c.endOneCall(t)
			default:
				c.now += int64(rapid.IntRange(0, 2).Draw(t, "time passed"))
				c.save(t)
				c.send(t)
			}
		}
	})
}

// save writes the watermark if it is due; one time in six the disk fails, and the old watermark stays.
func (c *crashable) save(t *rapid.T) {
	watermark, due := c.guard.WatermarkDue(at(c.now))
	if due && rapid.IntRange(0, 5).Draw(t, "disk") > 0 {
		c.onDisk = watermark
		c.guard.WatermarkSaved(watermark)
	}
}

func (c *crashable) restart(t *rapid.T) {
	c.guard = NewGuard(settings, at(c.now), c.onDisk)
	clear(c.running)
	clear(c.retryable)
	c.save(t)
}

func (c *crashable) endOneCall(t *rapid.T) {
	for _, id := range []string{"a", "b", "c", "d"} {
		if !c.running[id] {
			continue
		}
		rejected := rapid.Bool().Draw(t, "rejected")
		c.guard.Complete(Key{0, id}, Answer{Rejected: rejected})
		c.retryable[id] = rejected
		delete(c.running, id)
		return
	}
}

// send gives the guard a message of any timestamp, and checks that it is executed only where that is right.
func (c *crashable) send(t *rapid.T) {
	id := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "id")))
	m := message(id, c.now+int64(rapid.IntRange(-65, 7).Draw(t, "skew")))
	name := fmt.Sprint(id, m.Timestamp.Unix())
	verdict, _, _ := c.guard.Admit(at(c.now), m)
	switch verdict {
	case New, Retry:
		if c.executed[name] {
			t.Fatalf("message %s is executed again", name)
		}
		if c.running[id] {
			t.Fatalf("%s is executed twice at once", id)
		}
		if verdict == Retry && !c.retryable[id] {
			t.Fatalf("%s is retried although it was not rejected", id)
		}
		c.executed[name] = true
		c.running[id] = true
	case Join:
		if !c.running[id] {
			t.Fatalf("%s joins a call that is not in flight", id)
		}
	}
}
