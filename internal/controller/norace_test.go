//go:build !race

package controller

const racing = false
