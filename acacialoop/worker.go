package acacialoop

import "context"

// Worker is one goroutine that runs from Start until Close.
type Worker struct {
	stop context.CancelFunc
	done chan struct{}
}

// NewWorker returns a worker that has not started.
func NewWorker() *Worker {
	return &Worker{done: make(chan struct{})}
}

// Start runs a function, which must return soon after its context ends.
func (w *Worker) Start(ctx context.Context, run func(ctx context.Context)) {
	ctx, w.stop = context.WithCancel(ctx)
	go func() {
		defer close(w.done)
		run(ctx)
	}()
}

// Close ends the worker's context and waits for the worker.
func (w *Worker) Close() {
	w.stop()
	<-w.done
}

// Done is closed once the worker has ended.
func (w *Worker) Done() <-chan struct{} {
	return w.done
}
