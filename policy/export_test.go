package policy

// Compare is compare, for the tests of fleets of sidecars: what plays these imports this package.
var Compare = compare
