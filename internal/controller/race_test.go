//go:build race

package controller

const racing = true
