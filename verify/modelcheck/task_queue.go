package modelcheck

// taskQueue holds the tasks that run immediately, in order, without a choice of the explorer.
type taskQueue struct{ tasks []func() }

// add puts a task at the end.
func (queue *taskQueue) add(do func()) { queue.tasks = append(queue.tasks, do) }

// run runs all tasks, including those that tasks add.
func (queue *taskQueue) run() {
	for len(queue.tasks) > 0 {
		next := queue.tasks[0]
		queue.tasks = queue.tasks[1:]
		next()
	}
}

// clear removes all tasks.
func (queue *taskQueue) clear() { queue.tasks = nil }
