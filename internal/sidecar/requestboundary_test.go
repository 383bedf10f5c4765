package sidecar

import (
	"slices"
	"strings"
	"testing"
)

func TestRequestBoundary(t *testing.T) {
	const head, bare = "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\nHost: x\n\n"
	for name, c := range map[string]struct {
		text string
		body int64 // length of the body after the first head
		want []string
	}{
		"one request":                         {head, 0, []string{head}},
		"two requests":                        {head + head, 0, []string{head, head}},
		"line feeds without carriage returns": {bare + head + bare, 0, []string{bare, head, bare}},
		"request with a body":                 {head + "12345", 5, []string{head, "12345"}},
		"request with a body, then another":   {head + "1\n\n45" + head, 5, []string{head, "1\n\n45", head}},
		"incomplete body":                     {head + "12", 5, []string{head, "12"}},
		"incomplete second head":              {head + head[:20], 0, []string{head, head[:20]}},
		"no head":                             {"noise\r\nnoise", 0, []string{"noise\r\nnoise"}},
		"empty lines before the head":         {"\r\n\r\n" + head, 0, []string{"\r\n\r\n" + head}},
	} {
		t.Run(name, func(t *testing.T) {
			for chunk := 1; chunk <= len(c.text); chunk++ {
				if got := splitRequests(c.text, chunk, c.body); !slices.Equal(got, c.want) {
					t.Fatalf("in chunks of %d bytes: parts %q, want %q", chunk, got, c.want)
				}
			}
		})
	}
}

// splitRequests passes text to a requestBoundary in chunks and returns it split at the ends of heads and
// bodies, and the rest.
func splitRequests(text string, chunk int, body int64) (parts []string) {
	var b requestBoundary
	var part strings.Builder
	for len(text) > 0 {
		expected := b.bodyRemaining
		n, complete, err := b.consume([]byte(text[:min(chunk, len(text))]))
		if err != nil {
			panic(err)
		}
		part.WriteString(text[:n])
		endsLine := text[n-1] == '\n'
		text = text[n:]
		begun := strings.Trim(part.String(), "\r\n") != "" // empty lines before a head are part of it
		headEnded := expected == 0 && begun && endsLine && !b.inHead()
		bodyEnded := expected > 0 && b.bodyRemaining == 0
		if complete != (headEnded || bodyEnded) {
			panic("consume doesn't report the end of a head or body")
		}
		if headEnded && len(parts) == 0 {
			b.expectBody(body)
		}
		if headEnded || bodyEnded {
			parts = append(parts, part.String())
			part.Reset()
		}
	}
	if part.Len() > 0 {
		parts = append(parts, part.String())
	}
	return parts
}
