//! Turns a schema description into the code generator's request and runs the generator.
//!
//! The schema compiler would pass the same request to the generator. It is built here, so that the
//! schema compiler need not be installed.

use std::path::Path;

use capnp::message::{Builder, HeapAllocator};
use capnp::schema_capnp::{ElementSize, code_generator_request, field, node, type_, value};
use capnpc::codegen::CodeGenerationCommand;

use crate::schema_spec::{FieldSpec, FieldType, InterfaceSpec, SchemaSpec, StructSpec};

const NO_DISCRIMINANT: u16 = 0xffff;
const SLOTS_PER_WORD: u32 = 4;

/// Writes `schemas/NAME.capnp` and `src/generated/NAME_capnp.rs` under the library's directory.
pub fn write_schema(spec: &SchemaSpec, library: &Path) -> capnp::Result<()> {
    let contract = library.join("schemas").join(format!("{}.capnp", spec.name));
    std::fs::write(&contract, spec.text())
        .map_err(|error| capnp::Error::failed(format!("{}: {error}", contract.display())))?;
    let request = build_request(spec)?;
    let mut encoded = Vec::new();
    capnp::serialize::write_message(&mut encoded, &request)?;
    CodeGenerationCommand::new()
        .output_directory(library.join("src").join("generated"))
        .default_parent_module(vec!["generated".to_owned()])
        .run(encoded.as_slice())
}

fn build_request(spec: &SchemaSpec) -> capnp::Result<Builder<HeapAllocator>> {
    let mut message = Builder::new_default();
    let mut request = message.init_root::<code_generator_request::Builder<'_>>();
    let count = 1 + spec.structs.len() + spec.interfaces.len();
    let mut nodes = request.reborrow().init_nodes(size(count));
    build_file(nodes.reborrow().get(0), spec);
    for (index, item) in spec.structs.iter().enumerate() {
        build_struct(nodes.reborrow().get(size(1 + index)), spec, item)?;
    }
    for (index, item) in spec.interfaces.iter().enumerate() {
        let place = 1 + spec.structs.len() + index;
        build_interface(nodes.reborrow().get(size(place)), spec, item);
    }
    let mut file = request.init_requested_files(1).get(0);
    file.set_id(spec.id);
    file.set_filename(format!("{}.capnp", spec.name));
    Ok(message)
}

fn build_file(mut node: node::Builder<'_>, spec: &SchemaSpec) {
    let name = format!("{}.capnp", spec.name);
    node.set_id(spec.id);
    node.set_display_name(&name);
    node.set_display_name_prefix_length(0);
    let structs = spec.structs.iter().map(|item| (item.name, item.id));
    let interfaces = spec.interfaces.iter().map(|item| (item.name, item.id));
    let items: Vec<_> = structs.chain(interfaces).collect();
    let mut nested = node.reborrow().init_nested_nodes(size(items.len()));
    for (index, (name, id)) in items.into_iter().enumerate() {
        let mut entry = nested.reborrow().get(size(index));
        entry.set_name(name);
        entry.set_id(id);
    }
    node.set_file(());
}

fn name_node(node: &mut node::Builder<'_>, spec: &SchemaSpec, name: &str, id: u64) {
    let prefix = format!("{}.capnp:", spec.name);
    node.set_id(id);
    node.set_scope_id(spec.id);
    node.set_display_name(format!("{prefix}{name}"));
    node.set_display_name_prefix_length(size(prefix.len()));
}

fn build_struct(
    mut node: node::Builder<'_>,
    spec: &SchemaSpec,
    item: &StructSpec,
) -> capnp::Result<()> {
    name_node(&mut node, spec, item.name, item.id);
    let mut layout = StructLayout::default();
    let mut body = node.init_struct();
    body.set_preferred_list_encoding(ElementSize::InlineComposite);
    let mut fields = body.reborrow().init_fields(size(item.fields.len()));
    for (index, field) in item.fields.iter().enumerate() {
        let offset = layout.place(field.kind);
        build_field(
            fields.reborrow().get(size(index)),
            spec,
            field,
            index,
            offset,
        )?;
    }
    body.set_data_word_count(u16::try_from(layout.words).expect("structs are small"));
    body.set_pointer_count(u16::try_from(layout.pointers).expect("structs are small"));
    Ok(())
}

fn build_field(
    mut builder: field::Builder<'_>,
    spec: &SchemaSpec,
    item: &FieldSpec,
    ordinal: usize,
    offset: u32,
) -> capnp::Result<()> {
    let ordinal = u16::try_from(ordinal).expect("structs are small");
    builder.set_name(item.name);
    builder.set_code_order(ordinal);
    builder.set_discriminant_value(NO_DISCRIMINANT);
    builder.reborrow().init_ordinal().set_explicit(ordinal);
    let mut slot = builder.init_slot();
    slot.set_offset(offset);
    set_type(slot.reborrow().init_type(), spec, item.kind);
    set_default(slot.init_default_value(), item.kind)
}

fn set_type(mut builder: type_::Builder<'_>, spec: &SchemaSpec, kind: FieldType) {
    match kind {
        FieldType::UInt16 => builder.set_uint16(()),
        FieldType::UInt64 => builder.set_uint64(()),
        FieldType::Text => builder.set_text(()),
        FieldType::Data => builder.set_data(()),
        FieldType::ListOf(name) => {
            let element = builder.init_list().init_element_type();
            element.init_struct().set_type_id(spec.id_of(name));
        }
        FieldType::Capability(name) => builder.init_interface().set_type_id(spec.id_of(name)),
    }
}

fn set_default(mut builder: value::Builder<'_>, kind: FieldType) -> capnp::Result<()> {
    match kind {
        FieldType::UInt16 => builder.set_uint16(0),
        FieldType::UInt64 => builder.set_uint64(0),
        FieldType::Text => builder.set_text(""),
        FieldType::Data => builder.set_data(&[]),
        FieldType::ListOf(_) => {
            builder.init_list();
        }
        FieldType::Capability(_) => builder.set_interface(()),
    }
    Ok(())
}

fn build_interface(mut node: node::Builder<'_>, spec: &SchemaSpec, item: &InterfaceSpec) {
    name_node(&mut node, spec, item.name, item.id);
    let body = node.init_interface();
    let mut methods = body.init_methods(size(item.methods.len()));
    for (index, method) in item.methods.iter().enumerate() {
        let mut builder = methods.reborrow().get(size(index));
        builder.set_name(method.name);
        builder.set_code_order(u16::try_from(index).expect("interfaces are small"));
        builder.set_param_struct_type(spec.id_of(method.params));
        builder.set_result_struct_type(spec.id_of(method.results));
    }
}

/// Lays out fields as the schema compiler does: small fields fill up words that are partly used.
#[derive(Debug, Default)]
struct StructLayout {
    words: u32,
    pointers: u32,
    free_slots: std::ops::Range<u32>,
}

impl StructLayout {
    fn place(&mut self, kind: FieldType) -> u32 {
        match kind {
            FieldType::UInt16 => self.place_slot(),
            FieldType::UInt64 => {
                self.words += 1;
                self.words - 1
            }
            FieldType::Text | FieldType::Data | FieldType::ListOf(_) | FieldType::Capability(_) => {
                self.pointers += 1;
                self.pointers - 1
            }
        }
    }

    fn place_slot(&mut self) -> u32 {
        if self.free_slots.is_empty() {
            let first = self.words * SLOTS_PER_WORD;
            self.free_slots = first..first + SLOTS_PER_WORD;
            self.words += 1;
        }
        let slot = self.free_slots.start;
        self.free_slots.start += 1;
        slot
    }
}

fn size(count: usize) -> u32 {
    u32::try_from(count).expect("schemas are small")
}
