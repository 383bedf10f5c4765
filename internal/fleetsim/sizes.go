package fleetsim

// minServiceSize is the number of sidecars in the smallest services.
const minServiceSize = 2

// ZipfSizes distributes n sidecars over services by Zipf's law with exponent 1: the k-th largest service has
// about 1/k of the sidecars of the largest, and no service has fewer than two. For example, 11,000 sidecars
// in 670 services are 16.4 per service on average; the largest service has about 1,550, and half of the
// services have 5 or fewer.
func ZipfSizes(n, services int) []int {
	services = max(1, min(services, n/minServiceSize))
	harmonic := 0.0
	for k := 1; k <= services; k++ {
		harmonic += 1 / float64(k)
	}
	sizes, remainder := make([]int, services), n
	for k := range sizes {
		sizes[k] = max(minServiceSize, int(float64(n)/harmonic/float64(k+1)+0.5))
		remainder -= sizes[k]
	}
	sizes[0] += remainder // the largest service absorbs all rounding errors
	return sizes
}

// EvenSizes distributes n sidecars evenly over the smallest number of services of at most maxSize sidecars.
func EvenSizes(n, maxSize int) []int {
	services := (n + maxSize - 1) / maxSize
	sizes := make([]int, services)
	for k := range sizes {
		sizes[k] = n/services + min(1, max(0, n%services-k))
	}
	return sizes
}
