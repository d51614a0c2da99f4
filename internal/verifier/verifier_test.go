package verifier

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func TestStatuses(t *testing.T) {
	for code := range 1000 {
		checkStatus(t, fmt.Sprintf("%03d", code), code >= 200 && code <= 599, code >= 100 && code <= 199 && code != 101)
	}
	for _, code := range []string{"+99", "+20", "-20", " 20", "2 0", "20", "2000", "0x1", "1_0"} {
		checkStatus(t, code, false, false)
	}
}

func checkStatus(t *testing.T, code string, isFinal, isInterim bool) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+code+" text\r\nContent-Length: 0\r\n\r\n")), nil)
	if err != nil {
		if isFinal || isInterim {
			t.Errorf("%s: %v", code, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if got := CheckFinal(resp) == nil; got != isFinal {
		t.Errorf("%s is final: %v", code, got)
	}
	if got := IsInterim(resp); got != isInterim {
		t.Errorf("%s is interim: %v", code, got)
	}
}
