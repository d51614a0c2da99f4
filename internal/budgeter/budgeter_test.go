package budgeter

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// TestBudgetIsNeverExceeded draws bodies of accounts that come and go, and checks that what they keep
// stays within the budget and is given back.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Limit: int64(rapid.IntRange(1, 1<<20).Draw(t, "limit"))}
		var accounts []*Account
		kept := map[*Account]int{}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				size := rapid.IntRange(0, 1<<18).Draw(t, "size")
				length := int64(size)
				if rapid.Bool().Draw(t, "length is not known") {
					length = -1
				}
				a := &Account{Budget: &b}
				body := strings.Repeat("x", size)
				data, reserved, err := a.ReadAll(iotest.HalfReader(strings.NewReader(body)), length)
				if err != nil || reserved && string(data) != body {
					t.Fatalf("read %d of %d bytes, %v", len(data), size, err)
				}
				accounts = append(accounts, a)
				kept[a] = len(data)
			},
			"release": func(t *rapid.T) {
				if len(accounts) == 0 {
					t.Skip("nothing is reserved")
				}
				i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
				accounts[i].Release()
				delete(kept, accounts[i])
				accounts = append(accounts[:i], accounts[i+1:]...)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, n := range kept {
					sum += n
				}
				if b.Used() > b.Limit || int64(sum) > b.Used() {
					t.Fatalf("%d bytes are kept, %d reserved of %d", sum, b.Used(), b.Limit)
				}
			},
		})
		for _, a := range accounts {
			a.Release()
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes stay reserved", b.Used())
		}
	})
}

// TestSmallBodiesPassLargeOnes checks that large bodies leave a part of the budget to small ones.
func TestSmallBodiesPassLargeOnes(t *testing.T) {
	b := Budget{Limit: 10 << 20}
	for range 20 {
		(&Account{Budget: &b}).Grow(1 << 20)
	}
	if a := (&Account{Budget: &b}); a.Grow(1<<20) || !a.Grow(smallBytes) {
		t.Errorf("%d of %d bytes are reserved by large bodies", b.Used(), b.Limit)
	}
}

func TestZeroBudgetHasNoBound(t *testing.T) {
	var a Account
	data, reserved, err := a.ReadAll(bytes.NewReader(make([]byte, 1<<20)), -1)
	if len(data) != 1<<20 || !reserved || err != nil {
		t.Errorf("read %d bytes, %v, %v", len(data), reserved, err)
	}
	want := errors.New("the body broke off")
	if _, _, err := a.ReadAll(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(want)), 5); !errors.Is(err, want) {
		t.Errorf("got the error %v", err)
	}
}
