package event_test

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/event"
	"apricotrouter/steperr"
)

// Guards against errors logged as nested objects, which can't be searched by
// their text.
func TestErrorsAreLoggedAsText(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	err := steperr.Wrap(errors.New("refused"), "dial peer", "e2")
	event.Log(slog.New(slog.NewJSONHandler(&out, nil)), event.PeerDisconnected, slog.Any("error", err))
	g.Expect(out.String()).To(ContainSubstring(`"error":"dial peer (e2): refused"`))
	g.Expect(out.String()).To(ContainSubstring(`"event":102,"name":"peer-disconnected"`))
}
