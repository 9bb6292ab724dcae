package review

import "testing"

// The cases of the second review, see REPORT-2.md. review/build-2.sh builds their programs.

func TestReviewCase6(t *testing.T) { playCase(t, "6") }

func TestReviewCase7(t *testing.T) { playCase(t, "7") }

func TestReviewCase8(t *testing.T) { playCase(t, "8") }

func TestReviewCase9(t *testing.T) { playCase(t, "9") }

func TestReviewCase10(t *testing.T) { playCase(t, "10") }
