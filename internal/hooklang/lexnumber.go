package hooklang

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// lexNumber reads the number at an offset, such as 12, 1_000, 1.5 or 2e-3, or the duration, such as
// 1h30m, 250ms or 1.5s. problem is empty if the literal is valid.
func lexNumber(text string, start int) (t token, end int, problem string) {
	end, fraction := skipDecimal(text, start)
	if unitAt(text, end) != nil {
		t, end, problem = lexDuration(text, start)
		if problem != "" {
			return t, end, problem
		}
	} else {
		t, end, problem = lexPlainNumber(text, start, end, fraction)
	}
	if end < len(text) && isNameByte(text[end]) {
		end = skipName(text, end)
		return t, end, fmt.Sprintf("%s is not a number", text[start:end])
	}
	t.text = text[start:end]
	return t, end, problem
}

// maxDurationParts is the maximum number of parts of a duration; 1h30m has two.
const maxDurationParts = 6

// lexDuration reads a duration. It adds whole numbers exactly, and computes the sum in floating
// point as well to detect that it does not fit.
func lexDuration(text string, i int) (t token, end int, problem string) {
	var exact int64
	approximate := 0.0
	for part := 1; ; part++ {
		start := i
		digitsEnd, fraction := skipDecimal(text, start)
		i = digitsEnd
		unit := unitAt(text, i)
		if unit == nil {
			return token{kind: tokenDuration}, i, "the last number of a duration has no unit: use h, m, s, ms or us"
		}
		digits := strings.ReplaceAll(text[start:i], "_", "")
		value, _ := strconv.ParseFloat(digits, 64)
		approximate += value * float64(unit.duration)
		whole, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && !fraction && whole < math.MaxInt64/int64(unit.duration) {
			exact += whole * int64(unit.duration)
		} else {
			exact += int64(math.Round(min(value*float64(unit.duration), math.MaxInt64/4)))
		}
		i += len(unit.name)
		if i < len(text) && isDigit(text[i]) && part < maxDurationParts {
			continue
		}
		if approximate >= math.MaxInt64/4 {
			return token{kind: tokenDuration}, i, "the duration is too long"
		}
		return token{kind: tokenDuration, number: exact}, i, ""
	}
}

// lexPlainNumber reads an int or a float. digitsEnd is the end of its digits before an exponent,
// and fraction whether they contain a decimal point.
func lexPlainNumber(text string, start, digitsEnd int, fraction bool) (t token, end int, problem string) {
	end = digitsEnd
	if end < len(text) && (text[end] == 'e' || text[end] == 'E') {
		exponent := end + 1
		if exponent < len(text) && (text[exponent] == '-' || text[exponent] == '+') {
			exponent++
		}
		if after := skipDigits(text, exponent); after > exponent {
			fraction = true
			end = after
		}
	}
	digits := strings.ReplaceAll(text[start:end], "_", "")
	var err error
	if fraction {
		t.kind = tokenFloat
		t.float, err = strconv.ParseFloat(digits, 64)
	} else {
		t.kind = tokenInt
		t.number, err = strconv.ParseInt(digits, 10, 64)
	}
	if err != nil {
		problem = digits + " is out of range"
	}
	return t, end, problem
}

// durationUnit is a unit of duration literals.
type durationUnit struct {
	name     string
	duration time.Duration
}

// durationUnits lists ms before m, because the first unit that matches is taken.
var durationUnits = []durationUnit{
	{"ms", time.Millisecond}, {"us", time.Microsecond}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second},
}

// unitAt returns the unit at an offset, or nil. A unit must be followed by a digit or the end of
// the word.
func unitAt(text string, i int) *durationUnit {
	for k := range durationUnits {
		unit := &durationUnits[k]
		if !strings.HasPrefix(text[i:], unit.name) {
			continue
		}
		end := i + len(unit.name)
		if end == len(text) || !isNameByte(text[end]) || isDigit(text[end]) {
			return unit
		}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isNameByte reports whether a byte may be part of a name. A name must not begin with a digit,
// which callers check.
func isNameByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c)
}

// skipName returns the offset after the name at offset i.
func skipName(text string, i int) int {
	for i < len(text) && isNameByte(text[i]) {
		i++
	}
	return i
}

// skipDigits returns the offset after the digits and underscores at offset i.
func skipDigits(text string, i int) int {
	for i < len(text) && (isDigit(text[i]) || text[i] == '_') {
		i++
	}
	return i
}

// skipDecimal returns the offset after the decimal number at offset i, and whether it has a
// fraction.
func skipDecimal(text string, i int) (end int, fraction bool) {
	end = skipDigits(text, i)
	if end+1 < len(text) && text[end] == '.' && isDigit(text[end+1]) {
		return skipDigits(text, end+1), true
	}
	return end, false
}
