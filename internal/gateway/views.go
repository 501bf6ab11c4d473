package gateway

import "kitehub/scheduler"

// A WorkerView is a worker as this controller sees it. The embedded snapshot adds its JSON keys
// next to the name.
type WorkerView struct {
	Name string `json:"name"`
	scheduler.WorkerSnapshot
}

// A FunctionView is a function as this controller sees it. Its JSON has the same structure as that
// of WorkerView.
type FunctionView struct {
	Name string `json:"name"`
	Home string `json:"home"` // name of the worker that is the function's home
	scheduler.FunctionSnapshot
}

// View returns workers and functions as the dispatcher sees them, sorted by id. It returns an error
// if the loop has ended.
func (g *Gateway) View() (workers []WorkerView, functions []FunctionView, err error) {
	err = g.runOnLoop(func() {
		for _, w := range g.dispatcher.Workers() {
			workers = append(workers, WorkerView{g.workerName(w.ID), w})
		}
		for _, f := range g.dispatcher.Functions() {
			name, _, _ := g.functionName(f.ID)
			functions = append(functions, FunctionView{name, g.workerName(f.Home), f})
		}
	})
	return workers, functions, err
}
