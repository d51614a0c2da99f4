package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/refuser"
)

// HeaderRequestMark is set by load tools: the answer repeats it, and executions are
// counted under it.
const HeaderRequestMark = "Request-Mark"

// chatRequest is the part of a chat-completions request that is imitated.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

const defaultTokens = 16

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var req chatRequest
	if err != nil || json.Unmarshal(body, &req) != nil {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	mark := r.Header.Get(HeaderRequestMark)
	f, ok := s.begin(w, mark, s.Description.GetKind() == KindEngine)
	if !ok {
		return
	}
	defer s.end()
	if f.Paused {
		<-r.Context().Done()
		return
	}
	if req.Stream {
		s.stream(w, r, req, mark, f)
		return
	}
	s.whole(w, r, req, mark, f)
}

// begin admits a request and counts it, or answers why not. A server that has
// taken on more than twice what it bears fails the request.
func (s *Server) begin(w http.ResponseWriter, mark string, needsGroup bool) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseRequests || needsGroup && s.Description.GetState() != "ready" {
		w.Header().Set(refuser.HeaderStatement, string(refuser.NotRun))
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return s.faults, false
	}
	s.running++
	s.executed++
	if mark != "" {
		s.runs[mark]++
	}
	if s.running > 2*s.bears() {
		s.running--
		http.Error(w, "overloaded", http.StatusInternalServerError)
		return s.faults, false
	}
	return s.faults, true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// times returns the waits of one answer; load beyond what the server bears
// makes both longer.
func (s *Server) times() (first, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strain := max(1, float64(s.running)/float64(max(s.bears(), 1)))
	first = time.Duration(float64(s.scaled(s.Profile.TimeToFirstToken)) * strain)
	between = time.Duration(float64(s.scaled(s.Profile.TimeBetweenTokens)) * strain)
	return first, between
}

func token(i int, mark string) string { return fmt.Sprintf("t%d.%s ", i, mark) }

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req chatRequest, mark string, f Faults) {
	first, between := s.times()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	rc := http.NewResponseController(w)
	sleep(r.Context(), first)
	for i := range req.MaxTokens {
		if r.Context().Err() != nil {
			return
		}
		if f.CutAfterTokens > 0 && i >= f.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		s.chunk(w, req, &message{Content: token(i, mark)}, nil)
		_ = rc.Flush()
		if between > 0 {
			sleep(r.Context(), between)
		}
	}
	stop := "stop"
	s.chunk(w, req, &message{}, &stop)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	_ = rc.Flush()
}

func (s *Server) chunk(w io.Writer, req chatRequest, m *message, finish *string) {
	b, err := json.Marshal(chatChunk{
		ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: req.Model,
		Choices: []chatChoice{{Delta: m, FinishReason: finish}},
	})
	if err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	}
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, req chatRequest, mark string, f Faults) {
	first, between := s.times()
	sleep(r.Context(), first+time.Duration(req.MaxTokens)*between)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := range req.MaxTokens {
		text.WriteString(token(i, mark))
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chatChunk{
		ID: "chatcmpl-standin", Object: "chat.completion", Model: req.Model,
		Choices: []chatChoice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
	})
}

// serveBooking imitates a plain service whose POST must not run twice.
func (s *Server) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, ok := s.begin(w, r.Header.Get(HeaderRequestMark), false)
	if !ok {
		return
	}
	defer s.end()
	if f.Paused {
		<-r.Context().Done()
		return
	}
	first, _ := s.times()
	sleep(r.Context(), first)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, `{"confirmed":%q,"by":%q}`+"\n", body, s.Description.GetVmId())
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.RunCounts())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
