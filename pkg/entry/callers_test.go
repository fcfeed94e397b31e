package entry_test

import (
	"context"
	"net/http"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/standin/model"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// reference returns the expected answer to a chat with one user message.
func reference(text string, seed uint64, n int) string {
	var b strings.Builder
	for _, t := range model.Reference(layers, seed, model.Tokenize("user: "+text+"\n"), n) {
		b.WriteString(model.Word(t))
	}
	return strings.TrimSpace(b.String())
}

// sse is the parsed content of an event stream: its text, the id of its last
// event, and whether it ended with [DONE].
type sse struct {
	text string
	last string
	done bool
}

func parseSSE(body string) sse {
	out := sse{}
	for _, line := range strings.Split(body, "\n") {
		switch {
		case strings.HasPrefix(line, "id: "):
			out.last = strings.TrimPrefix(line, "id: ")
		case line == "data: [DONE]":
			out.done = true
		case strings.HasPrefix(line, "data: "):
			if _, rest, ok := strings.Cut(line, `"delta":{"content":"`); ok {
				text, _, _ := strings.Cut(rest, `"`)
				out.text += text
			}
		}
	}
	return out
}

const chatBody = `{"model":"daily-note","messages":[{"role":"user","content":"Tere"}],"stream":true,"seed":5,"max_tokens":20}`

var _ = Describe("callers", Ordered, func() {
	It("get correct answers, resumable streams, and a typed failure for bad input", func() {
		withSystem(1, 2, func(s *system) {
			By("an unmodified OpenAI client gets a complete stream")
			e := s.entries[0]
			client := openai.NewClient(option.WithBaseURL("http://"+e.callers.address+"/v1"), option.WithAPIKey(callerKey), option.WithMaxRetries(0))
			stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
				Model:     "daily-note",
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Tere")},
				Seed:      openai.Int(5),
				MaxTokens: openai.Int(20),
			})
			acc := openai.ChatCompletionAccumulator{}
			for stream.Next() {
				acc.AddChunk(stream.Current())
			}
			Expect(stream.Err()).NotTo(HaveOccurred())
			Expect(strings.TrimSpace(acc.Choices[0].Message.Content)).To(Equal(reference("Tere", 5, 20)))
			Expect(acc.Choices[0].FinishReason).To(Equal("length"))
			models, err := client.Models.List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(models.Data).To(HaveLen(2))

			By("a non-streamed answer has the text and the usage")
			nonStreamed := e.send(http.MethodPost, api.ChatPath, strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1))
			Expect(nonStreamed.status).To(Equal(http.StatusOK), nonStreamed.body)
			Expect(nonStreamed.body).To(ContainSubstring(reference("Tere", 5, 20)))
			Expect(nonStreamed.body).To(ContainSubstring(`"completion_tokens":20`))

			By("a plain completion is streamed up to [DONE]")
			plain := e.send(http.MethodPost, api.CompletionsPath, `{"model":"daily-note","prompt":"Tere","max_tokens":3,"stream":true}`)
			Expect(plain.body).To(ContainSubstring(`"object":"text_completion"`))
			Expect(plain.body).To(HaveSuffix("data: [DONE]\n\n"))

			By("all entry hosts are listed, this one first")
			entries := s.entries[1].send(http.MethodGet, api.EntriesPath, "")
			Expect(entries.body).To(ContainSubstring(e.callers.address))
			Expect(entries.body).To(MatchRegexp(`^\{"entries":\[\{"address":"` + s.entries[1].callers.address))

			By("another host resumes a stream after the last event received")
			first := parseSSE(e.send(http.MethodPost, api.ChatPath, chatBody).body)
			dot := strings.LastIndex(first.last, ".")
			resumeFrom := first.last[:dot] + ".7"
			resumed := parseSSE(s.entries[1].send(http.MethodPost, api.ChatPath, chatBody, api.HeaderLastEventID, resumeFrom).body)
			Expect(resumed.done).To(BeTrue())
			words := strings.Fields(reference("Tere", 5, 20))
			Expect(strings.Fields(resumed.text)).To(Equal(words[8:]))

			By("bad input is refused with its failure kind and without a retry time")
			for _, c := range badInput {
				g := e.send(c.method, c.path, c.body, c.headers...)
				f := g.failure()
				Expect(f.Kind).To(Equal(c.kind), c.name+": "+g.body)
				Expect(f.Ran).To(Equal("no"), c.name)
				Expect(f.Message).NotTo(BeEmpty(), c.name)
				Expect(g.header.Get("Retry-After")).To(BeEmpty(), c.name)
			}
		})
	})
})

var badInput = []struct {
	name    string
	method  string
	path    string
	body    string
	headers []string
	kind    string
}{
	{name: "no key", method: "POST", path: api.ChatPath, body: chatBody, headers: []string{"Authorization", ""}, kind: "unauthenticated"},
	{name: "wrong key", method: "POST", path: api.ChatPath, body: chatBody, headers: []string{"Authorization", "Bearer nope"}, kind: "unauthenticated"},
	{name: "truncated JSON", method: "POST", path: api.ChatPath, body: chatBody[:30], kind: "bad_request"},
	{name: "no messages", method: "POST", path: api.ChatPath, body: `{"model":"daily-note"}`, kind: "bad_request"},
	{name: "unknown model", method: "POST", path: api.ChatPath, body: strings.Replace(chatBody, "daily-note", "nope", 1), kind: "unknown_model"},
	{name: "negative tokens", method: "POST", path: api.ChatPath, body: strings.Replace(chatBody, ":20", ":-2", 1), kind: "bad_request"},
	{name: "large body", method: "POST", path: api.ChatPath, body: strings.Repeat("x", 100<<10), kind: "body_too_large"},
	{name: "wrong method", method: "GET", path: api.ChatPath, kind: "method_not_allowed"},
	{name: "wrong path", method: "POST", path: "/v2/chat", kind: "not_found"},
	{name: "unknown service", method: "POST", path: "/v1/services/nope/x", kind: "unknown_service"},
	{name: "large service body", method: "POST", path: "/v1/services/staff-app/x", body: strings.Repeat("x", 20<<10), kind: "body_too_large"},
	{name: "at-most-once call without a key", method: "POST", path: "/v1/services/staff-app/confirm", kind: "bad_request"},
	{name: "malformed event id", method: "POST", path: api.ChatPath, body: chatBody, headers: []string{api.HeaderLastEventID, "x"}, kind: "resume_invalid"},
	{name: "event id past the end", method: "POST", path: api.ChatPath, body: chatBody, headers: []string{api.HeaderLastEventID, "a.5.20"}, kind: "resume_invalid"},
	{name: "resume of an at-most-once request", method: "POST", path: api.ChatPath, body: strings.Replace(chatBody, "daily-note", "note-to-parents", 1), headers: []string{api.HeaderLastEventID, "a.5.2", api.HeaderIdempotencyKey, "k"}, kind: "resume_invalid"},
}
