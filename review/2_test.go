//go:build review

package review

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// TestReview2 runs the cases 6 to 10. It needs the build of the deploy file and
// review/build-2.sh; each script exits with 1 where its rule was broken.
func TestReview2(t *testing.T) {
	for _, n := range []string{"6", "7", "8", "9", "10"} {
		script := n + "/run.sh"
		if _, err := os.Stat(script); err != nil {
			continue
		}
		t.Run(n, func(t *testing.T) {
			out, err := exec.Command("sh", script).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 2:
				t.Skipf("could not run:\n%s", out)
			default:
				t.Errorf("%v:\n%s", err, out)
			}
		})
	}
}
