package control

//go:generate protoc --go_out=controlpb --go_opt=paths=source_relative control.proto
//go:generate protoc --go_out=agentpb --go_opt=paths=source_relative --go-grpc_out=agentpb --go-grpc_opt=paths=source_relative agent.proto
