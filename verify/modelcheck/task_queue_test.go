package modelcheck

import (
	"slices"
	"testing"
)

func TestTaskQueueRunsInOrderWithWhatTasksAdd(t *testing.T) {
	queue, done := &taskQueue{}, []int{}
	queue.add(func() {
		done = append(done, 1)
		queue.add(func() { done = append(done, 3) })
	})
	queue.add(func() { done = append(done, 2) })
	queue.run()
	if !slices.Equal(done, []int{1, 2, 3}) {
		t.Errorf("tasks ran in the order %v, want 1, 2, 3", done)
	}
	queue.add(func() { t.Error("a cleared task ran") })
	queue.clear()
	queue.run()
}
