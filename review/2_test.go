//go:build review

package review

import (
	"errors"
	"os/exec"
	"testing"
)

// The tests run the cases 6 to 10. They need the build of the deploy file and
// review/build-2.sh. A script exits with 1 where its rule was broken, and with 2
// where it could not run.

func TestReviewRings(t *testing.T) { runCases(t, "6") }

func TestReviewObjects(t *testing.T) { runCases(t, "7", "9", "10") }

func TestReviewMembership(t *testing.T) { runCases(t, "8") }

func runCases(t *testing.T, numbers ...string) {
	for _, n := range numbers {
		t.Run(n, func(t *testing.T) {
			out, err := exec.Command("sh", n+"/run.sh").CombinedOutput()
			var exit *exec.ExitError
			if errors.As(err, &exit) && exit.ExitCode() == 2 {
				t.Skipf("could not run:\n%s", out)
			}
			if err != nil {
				t.Errorf("%v:\n%s", err, out)
			}
		})
	}
}
