package scheduler

import "testing"

func TestConcurrencyLimitFollowsResponses(t *testing.T) {
	const step = 0.1
	for _, tt := range []struct {
		name     string
		before   concurrencyLimit
		headroom float64
		late     bool
		want     float64
	}{
		{"used up and fast: one token more", concurrencyLimit{tokens: 4, inUse: 3}, 1.2, false, 5},
		{"not used up: unchanged", concurrencyLimit{tokens: 4, inUse: 2}, 1.2, false, 4},
		{"slow: a tenth less", concurrencyLimit{tokens: 10, inUse: 9}, 0.99, false, 9},
		{"after the objective: a tenth less", concurrencyLimit{tokens: 10, inUse: 9}, 2, true, 9},
		{"slow at the initial limit: below one token", concurrencyLimit{tokens: 2}, 0.7, false, 0.7},
		{"very slow: half at the lowest", concurrencyLimit{tokens: 1}, 0.01, false, 0.5},
		{"after the objective, not slower than its peers: a tenth less", concurrencyLimit{tokens: 1}, 3, true, 0.9},
		{"slow near the lowest limit: the lowest limit", concurrencyLimit{tokens: 0.1}, 0.5, false, step},
		{"fast below one token: one step more", concurrencyLimit{tokens: 0.5}, 1.2, false, 0.6},
		{"fast just below one token: one token", concurrencyLimit{tokens: 0.95}, 1.2, false, 1},
	} {
		limit := tt.before
		limit.onResponse(tt.headroom, tt.late, step)
		if limit.tokens != tt.want {
			t.Errorf("%s: %v tokens, want %v", tt.name, limit.tokens, tt.want)
		}
	}
}

func TestConcurrencyLimitHalvesOnRejectionAndTimeout(t *testing.T) {
	for _, tt := range []struct{ before, rejected, timedOut float64 }{
		{8, 4, 4}, {1.5, 1, 0.75}, {0.5, 0.5, 0.25}, {0.1, 0.1, 0.1},
	} {
		rejected, timedOut := concurrencyLimit{tokens: tt.before}, concurrencyLimit{tokens: tt.before}
		rejected.onRejection()
		timedOut.onTimeout(0.1)
		if rejected.tokens != tt.rejected || timedOut.tokens != tt.timedOut {
			t.Errorf("%v tokens: %v after a rejection, %v after a timeout, want %v and %v", tt.before, rejected.tokens,
				timedOut.tokens, tt.rejected, tt.timedOut)
		}
	}
}

func TestConcurrencyLimitCountsTokensInUse(t *testing.T) {
	limit := newConcurrencyLimit()
	limit.acquire()
	if !limit.available() {
		t.Error("no token is available with one of two in use")
	}
	limit.acquire()
	if limit.available() {
		t.Error("a token is available with two of two in use")
	}
	limit.release()
	limit.tokens = 1.9
	if limit.available() {
		t.Error("a token is available with one in use at a limit of 1.9")
	}
	limit.release()
	limit.tokens = 0.3
	if !limit.available() || !limit.accepts(0.29) || limit.accepts(0.3) {
		t.Error("at a limit of 0.3, want one token and the positions below 0.3 accepted")
	}
	limit.onRestart()
	if limit.tokens != 0.3 {
		t.Errorf("%v tokens after a restart, want no more than before", limit.tokens)
	}
	limit.tokens = 9
	limit.onRestart()
	if limit.tokens != initialTokens {
		t.Errorf("%v tokens after a restart at 9, want %v", limit.tokens, initialTokens)
	}
}

func TestTokenStepIsAnEqualPartOfOneToken(t *testing.T) {
	for controllers, want := range map[int]float64{1: 1, 4: 0.25, 20: 0.05, 800: 0.05} {
		if got := tokenStep(controllers); got != want {
			t.Errorf("%d controllers: step %v, want %v", controllers, got, want)
		}
	}
}

func TestSlowThresholdIsLowerForFewControllers(t *testing.T) {
	for controllers, want := range map[int]float64{8: slowThresholdFew, 9: slowThresholdMany} {
		if got := slowThreshold(controllers, 2); got != want { // two lanes
			t.Errorf("%d controllers: slow threshold %v, want %v", controllers, got, want)
		}
	}
}
