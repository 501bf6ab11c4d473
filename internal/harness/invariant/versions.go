package invariant

import (
	"fmt"
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A VersionBreak is an answer, or a run, of a version that should not have been.
type VersionBreak struct {
	At   time.Duration
	What string
}

// A VersionVerdict is what the trace of both ends shows about versions.
type VersionVerdict struct {
	Moves, Answers, Runs int // judged
	// Near are answers that came in within the slack after an acknowledgement that they contradict: they may have been
	// written before it. They were asked for before it.
	Near   int
	Breaks []VersionBreak
}

// Versions judges that no answer of a version went out after the acknowledgement of a move that left it, and that no other
// bytes ran than those under the name. It reads Moved (the operator has the acknowledgement), Asked and Answered of the
// clients, and Began of the workers. A call that was asked for after an acknowledgement has no slack at all.
func Versions(rs []trace.Record, slack time.Duration) *VersionVerdict {
	v := &VersionVerdict{}
	type move struct {
		at       time.Duration
		revision uint64
		digest   string
	}
	moves := map[string][]move{} // of an alias, in the order of their revisions
	names := map[string]string{} // function at the workers, "model@version", to its digest
	asked := map[string]time.Duration{}
	ran := map[string][]string{} // digests, by request
	for i := range rs {
		switch r := &rs[i]; r.Kind {
		case trace.AliasMigrated:
			v.Moves++
			moves[r.Function] = append(moves[r.Function], move{r.At, r.Revision, r.Digest})
			names[r.Note] = r.Digest
		case trace.RequestSent:
			asked[r.Request] = r.At
		case trace.RunStarted:
			if r.Digest != "" {
				v.Runs++
				ran[r.Request] = append(ran[r.Request], r.Digest)
			}
		}
	}
	for _, l := range moves {
		slices.SortStableFunc(l, func(a, b move) int { return int(a.revision) - int(b.revision) })
	}
	note := func(at time.Duration, format string, args ...any) {
		v.Breaks = append(v.Breaks, VersionBreak{at, fmt.Sprintf(format, args...)})
	}
	for i := range rs {
		r := &rs[i]
		if r.Kind == trace.RunStarted && r.Digest != "" && names[r.Function] != "" && names[r.Function] != r.Digest && r.Note != "lie" {
			note(r.At, "%s ran %s as %s, which is %s", r.Worker, r.Digest, r.Function, names[r.Function])
		}
		if r.Kind != trace.Answered || r.Outcome != "served" || r.Revision == 0 {
			continue
		}
		v.Answers++
		for _, m := range moves[r.Function] {
			switch {
			case m.revision == r.Revision:
				if m.digest != "" && !slices.Contains(ran[r.Request], m.digest) {
					note(r.At, "answer %s of revision %d of %s: none of its runs was of %s", r.Request, r.Revision, r.Function, m.digest)
				}
			case m.revision < r.Revision:
			case asked[r.Request] > m.at:
				note(r.At, "answer %s of revision %d of %s, asked for %v after revision %d was acknowledged", r.Request, r.Revision, r.Function, asked[r.Request]-m.at, m.revision)
			case r.At > m.at+slack:
				note(r.At, "answer %s of revision %d of %s came %v after revision %d was acknowledged", r.Request, r.Revision, r.Function, r.At-m.at, m.revision)
			case r.At > m.at:
				v.Near++
			}
		}
	}
	return v
}
