package fleetsim

import "sync"

// Sizes deals n sidecars out to services as their sizes are assumed to be: by Zipf's law with exponent 1, where
// the k-th largest service is one k-th of the largest, and none has fewer than two. 11,000 in 670 services are
// 16.4 each on average, the largest has some 1,550 and half of them have 5 or fewer.
func Sizes(n, services int) []int {
	services = max(1, min(services, n/2))
	harmonic := 0.0
	for k := 1; k <= services; k++ {
		harmonic += 1 / float64(k)
	}
	sizes, left := make([]int, services), n
	for k := range sizes {
		sizes[k] = max(2, int(float64(n)/harmonic/float64(k+1)+0.5))
		left -= sizes[k]
	}
	sizes[0] += left // what rounding leaves, or took
	return sizes
}

// EvenSizes deals n sidecars out to the fewest services of most each at the most, all of one size or nearly.
func EvenSizes(n, most int) []int {
	services := (n + most - 1) / most
	sizes := make([]int, services)
	for k := range sizes {
		sizes[k] = n/services + min(1, max(0, n%services-k))
	}
	return sizes
}

// RunAll plays one service for each size, at most so many at once, and hands what each call of play returns to
// take, in the order of the services. Services do not meet, so nothing depends on how many run at once.
func RunAll[T any](sizes []int, atOnce int, play func(service, size int) (T, error), take func(T)) error {
	results, errs := make([]T, len(sizes)), make([]error, len(sizes))
	var all sync.WaitGroup
	next := make(chan int)
	for range max(1, atOnce) {
		all.Go(func() {
			for k := range next {
				results[k], errs[k] = play(k, sizes[k])
			}
		})
	}
	for k := range sizes {
		next <- k
	}
	close(next)
	all.Wait()
	for k := range sizes {
		if errs[k] != nil {
			return errs[k]
		}
		take(results[k])
	}
	return nil
}
