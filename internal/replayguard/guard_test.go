package replayguard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes the random tests the same in every run of CI. Set -rapid.seed to explore other
// cases.
func init() { flag.Set("rapid.seed", "1") }

var settings = Settings{
	MaxAge:         60 * time.Second,
	MaxClockSkew:   5 * time.Second,
	WatermarkStep:  4 * time.Second,
	MaxEntries:     8,
	MaxAnswerBytes: 100,
}

// baseTime is the time of day from which the tests count, in Unix seconds.
const baseTime = 1000000

func at(seconds int64) time.Time { return time.Unix(baseTime+seconds, 0) }

func message(id string, timestamp int64) Message {
	return Message{Key: Key{"", id}, Timestamp: at(timestamp), Digest: [32]byte{1}}
}

// newGuard returns a guard that started without a watermark and has written its first one.
func newGuard(now int64) *Guard {
	g := NewGuard(settings, at(now), time.Time{})
	watermark, _ := g.WatermarkDue(at(now))
	g.WatermarkSaved(watermark)
	return g
}

// saveWatermark saves the watermark if it is due.
func saveWatermark(g *Guard, now int64) {
	if watermark, due := g.WatermarkDue(at(now)); due {
		g.WatermarkSaved(watermark)
	}
}

// expectVerdict passes a message to a guard whose watermark is up to date, and checks the verdict.
func expectVerdict(t *testing.T, g *Guard, now int64, m Message, want Verdict) Answer {
	t.Helper()
	saveWatermark(g, now)
	verdict, cached, _ := g.Admit(at(now), m)
	if verdict != want {
		t.Errorf("at %d, %s with timestamp %d: verdict %v, want %v", now, m.ID, m.Timestamp.Unix()-baseTime, verdict, want)
	}
	return cached
}

func TestSameTimestampIsReplayAndNewerOneJoinsCallInFlight(t *testing.T) {
	g := newGuard(100)
	expectVerdict(t, g, 100, message("a", 100), New)
	expectVerdict(t, g, 100, message("a", 100), Replay)
	expectVerdict(t, g, 101, message("a", 99), Replay) // an older attempt that was delayed in transit
	expectVerdict(t, g, 101, message("a", 101), Join)
	expectVerdict(t, g, 101, message("a", 101), Replay)
}

func TestIDCannotBeReusedForAnotherMessage(t *testing.T) {
	g := newGuard(100)
	expectVerdict(t, g, 100, message("a", 100), New)
	other := message("a", 102)
	other.Digest = [32]byte{2}
	expectVerdict(t, g, 102, other, IDReused)
}

func TestIDsAreUniqueWithinClientOnly(t *testing.T) {
	g := newGuard(100)
	expectVerdict(t, g, 100, message("a", 100), New)
	otherClient := message("a", 100)
	otherClient.Client = "other"
	expectVerdict(t, g, 100, otherClient, New)
}

func TestRetryAfterEndGetsCachedAnswer(t *testing.T) {
	g := newGuard(102)
	expectVerdict(t, g, 102, message("a", 102), New)
	g.Complete(Key{"", "a"}, Answer{Status: 200, Body: []byte("served")})
	if cached := expectVerdict(t, g, 103, message("a", 103), Cached); string(cached.Body) != "served" {
		t.Errorf("cached answer %q", cached.Body)
	}
}

func TestRetryAfterRejectionIsExecutedOnce(t *testing.T) {
	g := newGuard(103)
	expectVerdict(t, g, 103, message("b", 103), New)
	g.Complete(Key{"", "b"}, Answer{Rejected: true, Status: 503})
	expectVerdict(t, g, 104, message("b", 104), Retry)
	expectVerdict(t, g, 104, message("b", 104), Replay)
	expectVerdict(t, g, 104, message("b", 105), Join)
}

func TestTimestampMustLieWithinRange(t *testing.T) {
	g := newGuard(105)
	expectVerdict(t, g, 105, message("c", 45), Stale)
	expectVerdict(t, g, 105, message("c", 46), New)
	expectVerdict(t, g, 105, message("c", 110), Early)
	expectVerdict(t, g, 105, message("d", 109), New)
}

func TestAnswerThatDoesNotFitIsNotCached(t *testing.T) {
	g := newGuard(102)
	expectVerdict(t, g, 102, message("a", 102), New)
	g.Complete(Key{"", "a"}, Answer{Status: 200, Body: []byte("served")})
	expectVerdict(t, g, 106, message("big", 106), New)
	// 6 + 95 bytes exceed the limit.
	g.Complete(Key{"", "big"}, Answer{Status: 200, Body: make([]byte, 95)})
	expectVerdict(t, g, 107, message("big", 107), AnswerEvicted)
}

func TestFullGuardRejectsNewIDsUntilOldOnesAreStale(t *testing.T) {
	g := newGuard(107)
	for i := range settings.MaxEntries {
		expectVerdict(t, g, 107, message(fmt.Sprint("id", i), 107), New)
	}
	expectVerdict(t, g, 107, message("further", 107), AtCapacity)
	g.Complete(Key{"", "id0"}, Answer{Status: 200})
	expectVerdict(t, g, 400, message("further", 400), New)
	// The calls in flight stay, and the new call replaces the completed one.
	if n := g.Len(); n != settings.MaxEntries {
		t.Errorf("%d ids remembered, want %d", n, settings.MaxEntries)
	}
}

func TestClockSetBackMakesNoOldMessageAcceptable(t *testing.T) {
	g := newGuard(107)
	expectVerdict(t, g, 107, message("a", 107), New)
	expectVerdict(t, g, 100, message("g", 47), Stale)
}

// Guards against replays after a crash, which loses the entries: every message up to the watermark
// may have been accepted before, and is rejected.
func TestCrashRejectsMessagesUpToWatermark(t *testing.T) {
	g := newGuard(100)
	expectVerdict(t, g, 100, message("a", 104), New) // the highest timestamp that is accepted now
	watermark := at(109)                             // 100 + MaxClockSkew + WatermarkStep is on disk
	if due, replace := g.WatermarkDue(at(100)); replace || !due.Equal(watermark) {
		t.Errorf("watermark %v, due %v", due, replace)
	}

	g = NewGuard(settings, at(101), watermark)
	saveWatermark(g, 101)
	verdict, _, retryAfter := g.Admit(at(101), message("a", 104))
	if verdict != PossibleReplay || retryAfter != 6*time.Second {
		t.Errorf("after the crash: verdict %v, retry after %v", verdict, retryAfter)
	}
	expectVerdict(t, g, 105, message("a", 109), PossibleReplay)
	expectVerdict(t, g, 106, message("a", 110), New)
}

// Guards against replays after a clean stop, whose watermark is no higher than the highest accepted
// timestamp: once that watermark is taken, the guard accepts no message above it.
func TestCleanStopRejectsOnlyWhatWasAccepted(t *testing.T) {
	g := newGuard(106)
	expectVerdict(t, g, 106, message("a", 110), New)
	watermark := g.FinalWatermark()
	if !watermark.Equal(at(110)) {
		t.Errorf("final watermark %v, want %v", watermark, at(110))
	}
	if verdict, _, _ := g.Admit(at(107), message("z", 111)); verdict != PossibleReplay {
		t.Errorf("message above the final watermark: verdict %v", verdict)
	}

	g = NewGuard(settings, at(50), watermark) // meanwhile the clock was set back by a minute
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

// A crashTest drives a guard whose process stops, crashes and restarts, and whose disk fails at
// times.
type crashTest struct {
	guard    *Guard
	now      int64
	onDisk   time.Time       // the watermark
	executed map[string]bool // by message: id and timestamp
	running  map[string]bool // by id
	rejected map[string]bool // by id: the last attempt was rejected
}

// No message is executed twice except as a retry after a rejection, however the clock changes and
// whenever the process stops or crashes.
func TestNoMessageIsExecutedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &crashTest{
			guard:    NewGuard(settings, at(1000), time.Time{}),
			now:      1000,
			executed: map[string]bool{},
			running:  map[string]bool{},
			rejected: map[string]bool{},
		}
		c.save(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0: // crash
				c.restart(t)
			case 1: // clean stop
				c.onDisk = c.guard.FinalWatermark()
				c.restart(t)
			case 2:
				c.now += int64(rapid.IntRange(-90, 90).Draw(t, "clock jump"))
			case 3:
				c.completeOneCall(t)
			default:
				c.now += int64(rapid.IntRange(0, 2).Draw(t, "time passed"))
				c.save(t)
				c.send(t)
			}
		}
	})
}

// save writes the watermark if it is due. One time in six the disk fails, and the old watermark
// stays.
func (c *crashTest) save(t *rapid.T) {
	watermark, due := c.guard.WatermarkDue(at(c.now))
	if due && rapid.IntRange(0, 5).Draw(t, "disk") > 0 {
		c.onDisk = watermark
		c.guard.WatermarkSaved(watermark)
	}
}

func (c *crashTest) restart(t *rapid.T) {
	c.guard = NewGuard(settings, at(c.now), c.onDisk)
	clear(c.running)
	clear(c.rejected)
	c.save(t)
}

func (c *crashTest) completeOneCall(t *rapid.T) {
	for _, id := range []string{"a", "b", "c", "d"} {
		if !c.running[id] {
			continue
		}
		wasRejected := rapid.Bool().Draw(t, "rejected")
		c.guard.Complete(Key{"", id}, Answer{Rejected: wasRejected})
		c.rejected[id] = wasRejected
		delete(c.running, id)
		return
	}
}

// send passes a message with a random timestamp to the guard, and checks that it is executed only
// if that is safe.
func (c *crashTest) send(t *rapid.T) {
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
			t.Fatalf("%s is executed twice concurrently", id)
		}
		if verdict == Retry && !c.rejected[id] {
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
