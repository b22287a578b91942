package modelcheck

// taskQueue holds what happens at once and needs no choice, in order.
type taskQueue struct{ tasks []func() }

// add puts a task at the end.
func (queue *taskQueue) add(do func()) { queue.tasks = append(queue.tasks, do) }

// run does all tasks and those that they add.
func (queue *taskQueue) run() {
	for len(queue.tasks) > 0 {
		next := queue.tasks[0]
		queue.tasks = queue.tasks[1:]
		next()
	}
}

// clear drops all tasks.
func (queue *taskQueue) clear() { queue.tasks = nil }
