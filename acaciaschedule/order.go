package acaciaschedule

import "slices"

// sortMostlySorted sorts a queue, keeps the order of equal requests and returns the sorted queue. It
// takes time in proportion to the length if few requests are out of order: those are taken out, sorted
// and merged into the others.
func sortMostlySorted(queue []*Request, compare func(a, b *Request) int) []*Request {
	inOrder := queue[:0]
	var displaced []*Request
	for _, request := range queue {
		if len(inOrder) > 0 && compare(request, inOrder[len(inOrder)-1]) < 0 {
			displaced = append(displaced, request)
			continue
		}
		inOrder = append(inOrder, request)
	}
	if len(displaced) == 0 {
		return queue
	}
	slices.SortStableFunc(displaced, compare)
	// A displaced request came after all requests in order that are equal to it, so it goes after them.
	// The merge runs from the end, because the sorted queue takes the place of the old one.
	last := len(inOrder) - 1
	for end := len(queue) - 1; len(displaced) > 0; end-- {
		next := displaced[len(displaced)-1]
		if last >= 0 && compare(inOrder[last], next) > 0 {
			queue[end] = inOrder[last]
			last--
			continue
		}
		queue[end] = next
		displaced = displaced[:len(displaced)-1]
	}
	return queue
}
