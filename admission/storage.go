package admission

// Load pattern: clients that the operator doesn't control submit workflows that
// are within the limits of one request, but have tens of thousands of tasks or
// never end. All control instances hold every open workflow in memory, so a few
// dozen such submissions would end all of them, and again at each start. What
// costs ordinary callers least is to refuse the workflows that need the most
// memory first.

// Storage is the memory for stored workflows, in bytes.
type Storage struct {
	Capacity int64 // 0 means unlimited
	Used     int64 // by stored workflows and by submissions that are being stored
}

const (
	// smallWorkflows is the number of workflows of the largest size that counts as
	// small that fit into the capacity. Such a workflow has a thousand tasks or
	// more on the smallest control instances.
	smallWorkflows = 64
	// largeShare is the reciprocal of the part of the capacity up to which other
	// workflows are stored. The rest remains for small ones.
	largeShare = 2
	// storageRetryMillis is the earliest retry after a refusal for lack of memory.
	// Workflows that can be served end within tens of seconds.
	storageRetryMillis = 10_000
)

// StorageFit says whether a workflow can be stored.
type StorageFit uint8

// Results of Storage.Fit.
const (
	Fits      StorageFit = iota
	FitsLater            // once other workflows have ended
	NeverFits
)

// Fit returns whether a workflow that takes a number of bytes can be stored.
func (s Storage) Fit(bytes int64) StorageFit {
	limit := s.Capacity
	if bytes > s.Capacity/smallWorkflows {
		limit = s.Capacity / largeShare
	}
	switch {
	case s.Capacity <= 0 || s.Used+bytes <= limit:
		return Fits
	case bytes > limit:
		return NeverFits
	}
	return FitsLater
}

// StorageRetryAfter returns when a submission that was refused for lack of memory
// may be sent again, in milliseconds. Copies of it may be on their way for
// copiesMillis.
func StorageRetryAfter(now int64, id string, copiesMillis int64) int64 {
	return retryAfter(now, &Submission{Job: Job{ID: id}, CopiesMillis: copiesMillis}, storageRetryMillis)
}
