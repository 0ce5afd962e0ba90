package assessor_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }
