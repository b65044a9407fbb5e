package daemon

import (
	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/do/v2"
)

// addOperators adds the operations for operators.
func addOperators(_ do.Injector, _ huma.API) {}
