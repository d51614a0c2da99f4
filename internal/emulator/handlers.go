package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/refuser"
)

// HeaderRequestMark is the request header that carries a request mark: a name that a
// load tool or test gives the request. Chat answers repeat it in each token, and the
// server counts the admitted requests by it.
const HeaderRequestMark = "Request-Mark"

// chatRequest holds the emulated fields of a chat-completions request.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

const defaultMaxTokens = 16

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var req chatRequest
	if err != nil || json.Unmarshal(body, &req) != nil {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	mark := r.Header.Get(HeaderRequestMark)
	f, ok := s.admitRequest(w, r, mark, s.Description.GetKind() == KindEngine)
	if !ok {
		return
	}
	defer s.finishRequest()
	if f.Paused {
		<-r.Context().Done()
		return
	}
	if f.CrashOnPrompt != "" && bytes.Contains(body, []byte(f.CrashOnPrompt)) {
		first, _ := s.tokenTimes()
		sleep(r.Context(), first)
		s.crash(r, "prompt")
	}
	if req.Stream {
		s.streamAnswer(w, r, req, mark, f)
		return
	}
	s.writeAnswer(w, r, req, mark, f)
}

// crash ends the server under a request, which Crashes records under a name. Nothing ends it if
// the connection has ended before. It does not return.
func (s *Server) crash(r *http.Request, name string) {
	now := time.Now()
	if s.Crashes != nil {
		s.Crashes.RecordArrival(now, name)
	}
	if r.Context().Err() == nil {
		if s.Crashes != nil {
			s.Crashes.RecordCrash(now, name)
		}
		if s.Crash != nil {
			s.Crash()
		}
	}
	panic(http.ErrAbortHandler)
}

// admitRequest counts a request and returns the current faults, or writes an error
// response and returns false. A request above twice the concurrency limit fails with
// status 500; it is counted although it does not run.
func (s *Server) admitRequest(w http.ResponseWriter, r *http.Request, mark string, needsGroup bool) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.limit.RecordArrival(now)
	if rate, named := s.limit.Answer(now); named {
		w.Header().Set(refuser.HeaderRateLimit, strconv.FormatFloat(rate, 'g', -1, 64))
	}
	sender, _, _ := strings.Cut(r.RemoteAddr, ":")
	if s.leave.Answer(now, sender, now) {
		w.Header().Set(refuser.HeaderLeaving, "1")
	}
	if wait, asked := s.wait.Answer(now, sender); asked {
		w.Header().Set(refuser.HeaderStatement, string(refuser.NotRun))
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
		http.Error(w, "asks to wait", http.StatusServiceUnavailable)
		return s.faults, false
	}
	if s.faults.RefuseRequests || needsGroup && s.Description.GetState() != "ready" {
		w.Header().Set(refuser.HeaderStatement, string(refuser.NotRun))
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return s.faults, false
	}
	s.runningCount++
	s.executedCount++
	if mark != "" {
		s.runsByMark[mark]++
	}
	if s.runningCount > 2*s.concurrencyLimit() {
		s.runningCount--
		http.Error(w, "overloaded", http.StatusInternalServerError)
		return s.faults, false
	}
	return s.faults, true
}

func (s *Server) finishRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCount--
}

// tokenTimes returns the delays of the first token and between two tokens. When more
// requests run than the concurrency limit allows, both grow in proportion.
func (s *Server) tokenTimes() (first, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := max(1, float64(s.runningCount)/float64(max(s.concurrencyLimit(), 1)))
	first = time.Duration(float64(s.scaleTime(s.Profile.TimeToFirstToken)) * slowdown)
	between = time.Duration(float64(s.scaleTime(s.Profile.TimeBetweenTokens)) * slowdown)
	return first, between
}

func tokenText(i int, mark string) string { return fmt.Sprintf("t%d.%s ", i, mark) }

func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, req chatRequest, mark string, f Faults) {
	first, between := s.tokenTimes()
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
		if f.DripAfterTokens > 0 && i >= f.DripAfterTokens {
			drip(w, r)
			return
		}
		s.writeChunk(w, req, &chatMessage{Content: tokenText(i, mark)}, nil)
		_ = rc.Flush()
		if between > 0 {
			sleep(r.Context(), between)
		}
	}
	finishReason := "stop"
	s.writeChunk(w, req, &chatMessage{}, &finishReason)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	_ = rc.Flush()
}

// drip writes a byte now and then until the client closes the connection.
func drip(w http.ResponseWriter, r *http.Request) {
	const interval = 300 * time.Millisecond
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, ":"); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		sleep(r.Context(), interval)
	}
}

func (s *Server) writeChunk(w io.Writer, req chatRequest, m *chatMessage, finishReason *string) {
	b, err := json.Marshal(chatResponse{
		ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: req.Model,
		Choices: []chatChoice{{Delta: m, FinishReason: finishReason}},
	})
	if err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, req chatRequest, mark string, f Faults) {
	first, between := s.tokenTimes()
	sleep(r.Context(), first+time.Duration(req.MaxTokens)*between)
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := range req.MaxTokens {
		text.WriteString(tokenText(i, mark))
	}
	finishReason := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(chatResponse{
		ID: "chatcmpl-standin", Object: "chat.completion", Model: req.Model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: &finishReason}},
	})
}

// serveBooking emulates a plain service whose POST requests must not run twice.
func (s *Server) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, ok := s.admitRequest(w, r, r.Header.Get(HeaderRequestMark), false)
	if !ok {
		return
	}
	defer s.finishRequest()
	if f.Paused {
		<-r.Context().Done()
		return
	}
	first, _ := s.tokenTimes()
	sleep(r.Context(), first)
	if f.CrashOnRequest != "" && (bytes.Contains(body, []byte(f.CrashOnRequest)) || strings.Contains(r.RequestURI, f.CrashOnRequest)) {
		s.crash(r, r.Method)
	}
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, `{"confirmed":%q,"by":%q}`+"\n", body, s.Description.GetVmId())
}

func (s *Server) serveRunCounts(w http.ResponseWriter, _ *http.Request) {
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
