package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"testing"

	"kitehub/internal/goldenfile"
)

// jsonShape returns JSON with its keys in order but without values: every string becomes "", every
// number 0 and every boolean false, and a list keeps only its first element.
func jsonShape(text string) string {
	var written bytes.Buffer
	decoder := json.NewDecoder(strings.NewReader(text))
	var writeValue func(to *bytes.Buffer) error
	writeValue = func(to *bytes.Buffer) error {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token := token.(type) {
		case json.Delim:
			to.WriteString(token.String())
			for i := 0; decoder.More(); i++ {
				elementTo := to
				if token == '[' && i > 0 {
					elementTo = &bytes.Buffer{} // discarded: the elements of a list have the same shape
				} else if i > 0 {
					to.WriteByte(',')
				}
				if token == '{' {
					key, err := decoder.Token()
					if err != nil {
						return err
					}
					fmt.Fprintf(to, "%q:", key)
				}
				if err := writeValue(elementTo); err != nil {
					return err
				}
			}
			end, err := decoder.Token()
			if err != nil {
				return err
			}
			to.WriteString(end.(json.Delim).String())
		case string:
			to.WriteString(`""`)
		case float64:
			to.WriteByte('0')
		case bool:
			to.WriteString("false")
		default:
			to.WriteString("null")
		}
		return nil
	}
	if err := writeValue(&written); err != nil {
		return "not JSON: " + err.Error() + ": " + text
	}
	return written.String()
}

// Every RPC method with all its parameters. The golden file records the keys of results and
// notifications, and the full text of errors.
func TestOperatorMethodsKeepTheirFormat(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.start(h.configure("c", withRPC(h, "hooks {}")...))
	l := dial(t, h)
	var written strings.Builder
	// ask sends a request and records it with the given number of lines received. The lines are
	// sorted, as notifications may arrive before the response.
	ask := func(name, text string, lines int) {
		l.send(text)
		var got []string
		for range lines {
			line := l.next()
			if !strings.Contains(line, `"error"`) {
				line = jsonShape(line)
			}
			got = append(got, line)
		}
		sort.Strings(got)
		fmt.Fprintf(&written, "%s\n-> %s\n", name, text)
		for _, line := range got {
			fmt.Fprintf(&written, "<- %s\n", line)
		}
	}
	script := `"text":"state n int = 7\non moved(m) { n = n + 1 }\n"`
	ask("status", request("1", "status", "{}"), 1)
	ask("call", call("2", "safe-1", `,"wait_ms":60000,"retry":true,"trace":"00112233445566778899aabbccddeeff"`), 1)
	ask("call with a key", call("3", "keyed-1", `,"key":"k"`), 1)
	ask("explain", request("4", "explain", `{"id":"me:2"}`), 1)
	ask("explain of no call", request("5", "explain", `{"id":"none"}`), 1)
	ask("workers", request("6", "workers", "{}"), 1)
	ask("functions", request("7", "functions", "{}"), 1)
	ask("hooks, none", request("8", "hooks", "{}"), 1)
	ask("hook.load", request("9", "hook.load", `{"name":"a",`+script+`,"shadow":false}`), 1)
	ask("hook.load of a wrong text", request("10", "hook.load", `{"name":"b","text":"on arrive(c) {"}`), 1)
	ask("hook.load into the shadow", request("11", "hook.load", `{"name":"a","text":"on moved(m) { log(\"x\") }\n","shadow":true}`), 1)
	ask("hooks", request("12", "hooks", "{}"), 1)
	ask("hook.promote too soon", request("13", "hook.promote", `{"name":"a"}`), 1)
	ask("hook.promote", request("14", "hook.promote", `{"name":"a","force":true}`), 1)
	ask("hook.rollback", request("15", "hook.rollback", `{"name":"a"}`), 1)
	ask("hook.release of what is not held", request("16", "hook.release", `{"name":"a"}`), 1)
	ask("hook.remove", request("17", "hook.remove", `{"name":"a"}`), 1)
	ask("hook.remove of none", request("18", "hook.remove", `{"name":"a"}`), 1)
	ask("subscribe", request("19", "subscribe", `{"topics":["ended"]}`), 1)
	ask("call with progress and an event", call("20", "safe-1", `,"progress":true`), 3)
	ask("unsubscribe", request("21", "unsubscribe", `{"topics":["ended"]}`), 1)
	ask("cancel", request("22", "cancel", `{"id":77}`), 1)
	ask("reload where there is none", request("23", "reload", "{}"), 1)
	ask("no such method", request("24", "nothing", "{}"), 1)
	ask("a param that is not known", request("25", "explain", `{"call":"x"}`), 1)
	ask("a param of a wrong type", request("26", "hook.promote", `{"name":1}`), 1)
	ask("no such function", call("27", "none", ""), 1)
	ask("a key used for another call", request("28", "call", `{"function":"keyed-1","body":{"x":2},"key":"k"}`), 1)
	ask("a batch", "["+request("29", "cancel", `{"id":77}`)+","+request("30", "nothing", "{}")+"]", 1)
	ask("not JSON", "{", 1)
	ask("drain", request("31", "drain", "{}"), 1)
	ask("call while it drains", call("32", "safe-1", ""), 1)
	goldenfile.Compare(t, "second_front.txt", []byte(written.String()))
}
