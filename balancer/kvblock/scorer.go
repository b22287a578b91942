package kvblock

// Scorer counts consecutive hits from the first block.
type Scorer struct{}

// Score returns for each runner the number of leading blocks that it holds without a gap, from the holders of each
// block in order.
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
