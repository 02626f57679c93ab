package chat

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// modelList is the response body of the models call.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// Models lists the models of the active routing document.
func (h *Handler) Models(w http.ResponseWriter, r *http.Request) {
	_, caller, release, err := h.Gate.Authenticate(r, time.Now())
	if err != nil {
		h.refuse(w, "", err)
		return
	}
	defer release()
	doc, err := h.Gate.Document(time.Now())
	if err != nil {
		h.refuse(w, caller.Workspace, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range doc.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "site"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	data, err := json.Marshal(list)
	if err != nil {
		h.refuse(w, caller.Workspace, fault.New(fault.Internal, "%s", err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
