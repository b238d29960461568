package conns

import "time"

// Limits bounds what the clients of an HTTP server may send and leave unread.
// Fields that are 0 have the values of DefaultLimits.
type Limits struct {
	// HeaderBytes is the maximum size of a request's line and headers.
	HeaderBytes int
	// HeaderTimeout is the time for a request's line and headers, from the
	// connection or from their first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
	// BodyGrace and BodyRate bound the time for a body: BodyGrace, and one
	// second for each BodyRate bytes that have arrived. A fixed time would refuse
	// large bodies on slow links or admit very slow small ones.
	BodyGrace time.Duration
	BodyRate  int64 // bytes per second
	// WriteTimeout is the time in which a client must accept writeBlock bytes of
	// a response.
	WriteTimeout time.Duration
}

// DefaultLimits returns limits that no client reaches whose headers take at most
// 16 KiB and 3 s, and that is idle for at most 15 s.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		// A link of 2 Mbit/s carries 60 bodies at this rate. Two lost packets in
		// a row delay a body by up to 3 s.
		BodyGrace: 5 * time.Second, BodyRate: 4 << 10,
		WriteTimeout: 10 * time.Second,
	}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = d.HeaderBytes
	}
	if l.BodyRate <= 0 {
		l.BodyRate = d.BodyRate
	}
	for _, field := range []struct{ value, otherwise *time.Duration }{
		{&l.HeaderTimeout, &d.HeaderTimeout},
		{&l.IdleTimeout, &d.IdleTimeout},
		{&l.BodyGrace, &d.BodyGrace},
		{&l.WriteTimeout, &d.WriteTimeout},
	} {
		if *field.value <= 0 {
			*field.value = *field.otherwise
		}
	}
	return l
}

// bodyTime returns the time that a client has for a body of which n bytes have
// arrived.
func (l Limits) bodyTime(n int64) time.Duration {
	return l.BodyGrace + time.Duration(float64(n)/float64(l.BodyRate)*float64(time.Second))
}
