package sidecar

import (
	"container/heap"

	"milletmast/balancer"
)

// timedTask is a task that the loop runs at a given time: a timer of the decision module, the backstop of a call, or a function.
type timedTask struct {
	at      float64 // ms, of the loop's clock
	token   uint64  // of a timer of the decision module
	call    *call   // for a backstop: the call that gets a response if it is still open
	run     func()
	onlyFor *levelState // run is called only while these levels are in effect; nil for always
	index   int         // in the heap; -1 once the task has been removed
}

// timerHeap is a heap of tasks (container/heap), ordered by time.
type timerHeap []*timedTask

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a task (heap.Interface).
func (h *timerHeap) Push(x any) {
	task := x.(*timedTask)
	task.index = len(*h)
	*h = append(*h, task)
}

// Pop removes the last task (heap.Interface).
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.index = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// runDueTasks runs the tasks whose time has come.
func (l *eventLoop) runDueTasks() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now() {
		task := heap.Pop(&l.timers).(*timedTask)
		switch {
		case task.run != nil:
			if task.onlyFor == nil || task.onlyFor == l.levels {
				task.run()
			}
		case task.call == nil:
			l.handle(&balancer.Event{Kind: balancer.EvTimer, Token: task.token})
		default:
			l.answerOverdue(task.call)
		}
	}
}
