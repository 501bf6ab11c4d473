package invariant

import (
	"fmt"
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A VersionViolation is an answer, or a run, of a version that should not have been.
type VersionViolation struct {
	At      time.Duration
	Message string
}

// A VersionVerdict is what the trace of both ends shows about versions.
type VersionVerdict struct {
	Migrations, Answers, Runs int // judged
	// Near are answers that came in within the slack after an acknowledgement that they contradict: they may have been
	// written before it. They were asked for before it.
	WithinSlack int
	Violations  []VersionViolation
}

// A migration is one that the operator has the acknowledgement of.
type migration struct {
	at       time.Duration
	revision uint64
	digest   string
}

// A versionChecker goes through one trace.
type versionChecker struct {
	verdict    *VersionVerdict
	slack      time.Duration
	migrations map[string][]migration // of an alias, in the order of their revisions
	digests    map[string]string      // by function at the workers, "model@version"
	sentAt     map[string]time.Duration
	ran        map[string][]string // digests, by request
}

// Versions checks that no answer of a version went out after the acknowledgement of a migration that superseded it, and that no
// other bytes ran than those under the name. It reads AliasMigrated (the operator has the acknowledgement), RequestSent and Answered
// of the clients, and RunStarted of the workers. A call that was sent after an acknowledgement has no slack at all.
func Versions(records []trace.Record, slack time.Duration) *VersionVerdict {
	c := &versionChecker{verdict: &VersionVerdict{}, slack: slack, migrations: map[string][]migration{}, digests: map[string]string{},
		sentAt: map[string]time.Duration{}, ran: map[string][]string{}}
	for i := range records {
		c.gather(&records[i])
	}
	for _, l := range c.migrations {
		slices.SortStableFunc(l, func(a, b migration) int { return int(a.revision) - int(b.revision) })
	}
	for i := range records {
		r := &records[i]
		if r.Kind == trace.RunStarted {
			c.checkRun(r)
		}
		if r.Kind == trace.Answered && r.Outcome == "served" && r.Revision > 0 {
			c.verdict.Answers++
			c.checkAnswer(r)
		}
	}
	return c.verdict
}

func (c *versionChecker) gather(r *trace.Record) {
	switch r.Kind {
	case trace.AliasMigrated:
		c.verdict.Migrations++
		c.migrations[r.Function] = append(c.migrations[r.Function], migration{r.At, r.Revision, r.Digest})
		c.digests[r.Note] = r.Digest
	case trace.RequestSent:
		c.sentAt[r.Request] = r.At
	case trace.RunStarted:
		if r.Digest != "" {
			c.verdict.Runs++
			c.ran[r.Request] = append(c.ran[r.Request], r.Digest)
		}
	}
}

func (c *versionChecker) broken(at time.Duration, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, VersionViolation{at, fmt.Sprintf(format, args...)})
}

// checkRun checks that a worker ran the bytes that the function's name stands for, unless it was told to run others.
func (c *versionChecker) checkRun(r *trace.Record) {
	if want := c.digests[r.Function]; r.Digest != "" && want != "" && want != r.Digest && r.Note != "lie" {
		c.broken(r.At, "%s ran %s as %s, which is %s", r.Worker, r.Digest, r.Function, want)
	}
}

func (c *versionChecker) checkAnswer(r *trace.Record) {
	for _, m := range c.migrations[r.Function] {
		switch {
		case m.revision == r.Revision:
			if m.digest != "" && !slices.Contains(c.ran[r.Request], m.digest) {
				c.broken(r.At, "answer %s of revision %d of %s: none of its runs was of %s", r.Request, r.Revision, r.Function, m.digest)
			}
		case m.revision < r.Revision:
		case c.sentAt[r.Request] > m.at:
			c.broken(r.At, "answer %s of revision %d of %s, asked for %v after revision %d was acknowledged",
				r.Request, r.Revision, r.Function, c.sentAt[r.Request]-m.at, m.revision)
		case r.At > m.at+c.slack:
			c.broken(r.At, "answer %s of revision %d of %s came %v after revision %d was acknowledged",
				r.Request, r.Revision, r.Function, r.At-m.at, m.revision)
		case r.At > m.at:
			c.verdict.WithinSlack++
		}
	}
}
