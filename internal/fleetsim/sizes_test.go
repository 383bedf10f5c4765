package fleetsim

import (
	"fmt"
	"slices"
	"testing"
)

// All sidecars are in a service of at least two, and the first service is the largest.
func TestSizesAddUp(t *testing.T) {
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		services := max(1, n*670/11000)
		for name, sizes := range map[string][]int{"Sizes": Sizes(n, services), "EvenSizes": EvenSizes(n, 1100)} {
			t.Run(fmt.Sprintf("%s of %d", name, n), func(t *testing.T) {
				sum := 0
				for _, size := range sizes {
					sum += size
				}
				if sum != n || slices.Min(sizes) < 2 || slices.Max(sizes) != sizes[0] {
					t.Errorf("sizes %v", sizes)
				}
			})
		}
	}
}

// The assumed fleet has 11,000 sidecars in 670 services; the largest has over 1,500, and half of them 5 or fewer.
func TestSizes(t *testing.T) {
	if sizes := Sizes(11000, 670); len(sizes) != 670 || sizes[0] < 1500 || sizes[335] > 5 {
		t.Errorf("%d services, the largest %d, the median %d", len(sizes), sizes[0], sizes[335])
	}
	if sizes := EvenSizes(11000, 1100); len(sizes) != 10 || sizes[9] != 1100 {
		t.Errorf("%v", sizes)
	}
}
