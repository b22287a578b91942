package kvblock

// Scorer scores a runner by its number of consecutive cached blocks from the first.
type Scorer struct{}

// Score returns the number of leading blocks that each runner holds without a gap. holdersByBlock lists the holders of
// each block in order.
func (Scorer) Score(holdersByBlock [][]string) map[string]int {
	scores := map[string]int{}
	for index, holders := range holdersByBlock {
		for _, runner := range holders {
			if scores[runner] == index {
				scores[runner] = index + 1
			}
		}
	}
	return scores
}
