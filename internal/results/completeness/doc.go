// Package completeness says how complete an answer is: which districts are in and which are missing and why,
// which ranks are certain, and between what an aggregate lies. It has no I/O and no clock, and claims nothing
// that it cannot know.
package completeness
