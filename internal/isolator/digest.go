package isolator

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// digestBytes is the length of a digest. Callers of one team cannot find another request with
// the digest of one that is refused.
const digestBytes = 16

// RequestContent is what two requests have in common if one is a repetition of the other.
// Request ids, other headers and deadlines may differ.
type RequestContent struct {
	Method string
	// Path includes the query.
	Path  string
	Team  identifier.Team
	Model string
	// Prompt describes the prompt of a request to a model. It counts only if there is no body.
	Prompt string
	Body   []byte
}

// Digest returns a name for the request, from which its content cannot be told.
func (c *RequestContent) Digest() identifier.RequestDigest {
	prompt := c.Prompt
	if len(c.Body) > 0 {
		prompt = ""
	}
	h := sha256.New()
	for _, s := range []string{c.Method, c.Path, string(c.Team), c.Model, prompt} {
		writeField(h, s)
	}
	_, _ = h.Write(c.Body)
	return identifier.RequestDigest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// writeField writes a field so that no two lists of fields are written alike.
func writeField(w io.Writer, s string) {
	_, _ = io.WriteString(w, strconv.Itoa(len(s))+":"+s)
}
