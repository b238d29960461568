package fleet

import (
	"time"

	"apricotrouter/state"
)

type imageStats struct{}

func newImageStats() imageStats { return imageStats{} }

func (imageStats) ended(*attempt, state.TaskOutcome, time.Duration) {}
