package fleetsim

import (
	"fmt"
	"slices"
	"testing"
)

// The sizes must add up to the number of sidecars, no service may have fewer than two sidecars, and the first
// service must be the largest.
func TestSizesAddUp(t *testing.T) {
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		services := max(1, n*670/11000)
		for name, sizes := range map[string][]int{"ZipfSizes": ZipfSizes(n, services), "EvenSizes": EvenSizes(n, 1100)} {
			t.Run(fmt.Sprintf("%s of %d", name, n), func(t *testing.T) {
				sum := 0
				for _, size := range sizes {
					sum += size
				}
				if sum != n || slices.Min(sizes) < 2 || slices.Max(sizes) != sizes[0] {
					t.Errorf("sizes = %v, want a correct sum, at least 2 in each service and the largest first", sizes)
				}
			})
		}
	}
}

// The assumed fleet has 11,000 sidecars in 670 services. The largest service must have at least 1,500
// sidecars, and half of the services 5 or fewer.
func TestSizes(t *testing.T) {
	if sizes := ZipfSizes(11000, 670); len(sizes) != 670 || sizes[0] < 1500 || sizes[335] > 5 {
		t.Errorf("%d services, the largest with %d sidecars, the median with %d; want 670, at least 1500, at most 5",
			len(sizes), sizes[0], sizes[335])
	}
	if sizes := EvenSizes(11000, 1100); len(sizes) != 10 || sizes[9] != 1100 {
		t.Errorf("even sizes = %v, want 10 services of 1100 sidecars", sizes)
	}
}
