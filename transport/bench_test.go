package transport

import (
	"context"
	"testing"
	"time"
)

// BenchmarkCall measures a call and its response between two instances.
func BenchmarkCall(b *testing.B) {
	la, addrA := listener(b)
	lb, addrB := listener(b)
	addrs := map[string]string{"a": addrA, "b": addrB}
	a := startMesh(b, "a", la, addrs, echoMux())
	startMesh(b, "b", lb, addrs, echoMux())
	for !a.Connected("b") {
		time.Sleep(10 * time.Millisecond)
	}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		var out echo
		if err := a.Call(ctx, "b", KindFormation, echo{Text: "hello"}, &out); err != nil {
			b.Fatal(err)
		}
	}
}
