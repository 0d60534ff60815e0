package acacialoop

import "context"

// Worker is a background goroutine that runs from Start until Close.
type Worker struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// NewWorker returns a worker that has not been started.
func NewWorker() *Worker {
	return &Worker{done: make(chan struct{})}
}

// Start runs a function on the worker's goroutine; the function must return soon after
// its context ends.
func (w *Worker) Start(ctx context.Context, run func(ctx context.Context)) {
	ctx, w.cancel = context.WithCancel(ctx)
	go func() {
		defer close(w.done)
		run(ctx)
	}()
}

// Close cancels the worker's context and waits until its function has returned.
func (w *Worker) Close() {
	w.cancel()
	<-w.done
}

// Done returns a channel that is closed once the worker's function has returned.
func (w *Worker) Done() <-chan struct{} {
	return w.done
}
