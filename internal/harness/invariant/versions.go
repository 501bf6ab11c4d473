package invariant

import (
	"fmt"
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A VersionViolation is an answer or a run of a wrong version.
type VersionViolation struct {
	At      time.Duration
	Message string
}

// A VersionVerdict is the result of checking the versions in a trace.
type VersionVerdict struct {
	Migrations, Answers, Runs int // checked
	// WithinSlack counts the answers that arrived within the slack after the acknowledgement of a
	// migration that superseded their version. They may have been sent before it, and their
	// requests were.
	WithinSlack int
	Violations  []VersionViolation
}

// A migration is a migration of an alias whose acknowledgement the operator received.
type migration struct {
	at       time.Duration
	revision uint64
	digest   string
}

// A versionChecker checks one trace.
type versionChecker struct {
	verdict    *VersionVerdict
	slack      time.Duration
	migrations map[string][]migration   // by alias, in the order of their revisions
	digests    map[string]string        // by the function's name at the workers, "model@version"
	sentAt     map[string]time.Duration // by request
	runDigests map[string][]string      // by request
}

// Versions checks that no answer of a version was sent after the acknowledgement of a migration
// that superseded it, and that workers ran only the bytes that a function's name stands for. It
// reads the AliasMigrated records (the operator received the acknowledgement), RequestSent and
// Answered of the clients, and RunStarted of the workers. A call that was sent after an
// acknowledgement is checked without slack.
func Versions(records []trace.Record, slack time.Duration) *VersionVerdict {
	c := &versionChecker{verdict: &VersionVerdict{}, slack: slack, migrations: map[string][]migration{}, digests: map[string]string{},
		sentAt: map[string]time.Duration{}, runDigests: map[string][]string{}}
	for i := range records {
		c.index(&records[i])
	}
	for _, migrations := range c.migrations {
		slices.SortStableFunc(migrations, func(a, b migration) int { return int(a.revision) - int(b.revision) })
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

// index collects what the checks look up: migrations, digests, and the records of requests.
func (c *versionChecker) index(r *trace.Record) {
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
			c.runDigests[r.Request] = append(c.runDigests[r.Request], r.Digest)
		}
	}
}

func (c *versionChecker) report(at time.Duration, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, VersionViolation{at, fmt.Sprintf(format, args...)})
}

// checkRun checks that a worker ran the bytes that the function's name stands for, unless the
// harness made it serve a stale version.
func (c *versionChecker) checkRun(r *trace.Record) {
	if want := c.digests[r.Function]; r.Digest != "" && want != "" && want != r.Digest && r.Note != "lie" {
		c.report(r.At, "%s ran digest %s as %s, whose digest is %s", r.Worker, r.Digest, r.Function, want)
	}
}

// checkAnswer checks an answer against the migrations of its alias: a run had the digest of its
// revision, and no later revision was acknowledged before the request or, with slack, the answer.
func (c *versionChecker) checkAnswer(r *trace.Record) {
	for _, m := range c.migrations[r.Function] {
		switch {
		case m.revision == r.Revision:
			if m.digest != "" && !slices.Contains(c.runDigests[r.Request], m.digest) {
				c.report(r.At, "answer %s of revision %d of %s: none of its runs had digest %s", r.Request, r.Revision, r.Function, m.digest)
			}
		case m.revision < r.Revision:
		case c.sentAt[r.Request] > m.at:
			c.report(r.At, "answer %s of revision %d of %s: requested %v after revision %d was acknowledged",
				r.Request, r.Revision, r.Function, c.sentAt[r.Request]-m.at, m.revision)
		case r.At > m.at+c.slack:
			c.report(r.At, "answer %s of revision %d of %s: received %v after revision %d was acknowledged",
				r.Request, r.Revision, r.Function, r.At-m.at, m.revision)
		case r.At > m.at:
			c.verdict.WithinSlack++
		}
	}
}
